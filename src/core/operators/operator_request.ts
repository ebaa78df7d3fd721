/** A file of a publication: path as the operator named it, and its text. */
interface PublishedFile {
  readonly path: string;
  readonly text: string;
}

/** What operators may ask of a node. */
export type OperatorRequest =
  | {
      readonly kind: 'publish';
      readonly publicationId: string;
      /** Revision that the operator's copy was based on; a same-service change since then conflicts. */
      readonly baseRevision?: number;
      readonly files: readonly PublishedFile[];
      /** Services without a file in this publication are removed. */
      readonly prune: boolean;
    }
  | {readonly kind: 'configShow'}
  | {readonly kind: 'configHistory'; readonly limit: number}
  | {readonly kind: 'status'}
  | {readonly kind: 'services'}
  | {readonly kind: 'replicas'}
  | {readonly kind: 'audit'; readonly limit: number}
  | {readonly kind: 'drain'; readonly node: string};
