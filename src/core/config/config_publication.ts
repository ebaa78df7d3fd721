/** An accepted publication, as kept in the history. */
export interface ConfigPublication {
  readonly revision: number;
  readonly publicationId: string;
  readonly operator: string;
  readonly atMs: number;
  /** Keys of the parts that it changed or removed. */
  readonly changed: readonly string[];
}
