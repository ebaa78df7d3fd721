/** Why a target may get no new work; undefined while it may. */
export type TargetBar =
  | 'vm-missing'
  | 'vm-leaving'
  | 'no-fresh-report'
  | 'assignment-differs'
  | 'document-not-serving'
  | 'told-leaving';
