/** A change of the same service by another publication; null texts are removals. */
export interface ConfigConflict {
  readonly service: string;
  readonly yours: string | null;
  readonly theirs: string | null;
  readonly theirRevision: number;
  readonly theirOperator: string;
}
