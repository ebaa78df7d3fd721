/** A file of a publication, with the path that the operator gave. */
interface PublishedFile {
  readonly path: string;
  readonly text: string;
}

/** A request of an operator to a node. */
export type OperatorRequest =
  | {
      readonly kind: 'publish';
      readonly publicationId: string;
      /** Revision on which the operator's files are based; later changes of the same services conflict. */
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
