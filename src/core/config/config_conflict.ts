/** Two publications that change the same service; a null text is a removal. */
export interface ConfigConflict {
  readonly service: string;
  readonly yours: string | null;
  readonly theirs: string | null;
  readonly theirRevision: number;
  readonly theirOperator: string;
}
