/** Reason why a target must not receive new requests. */
export type TargetBar =
  | 'vm-missing'
  | 'vm-leaving'
  | 'no-fresh-report'
  | 'assignment-differs'
  | 'document-not-serving'
  | 'told-leaving';
