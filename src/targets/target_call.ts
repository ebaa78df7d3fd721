/** A short call to a target's control path, and how it failed if it did. */
export interface TargetCall {
  readonly status?: number;
  readonly body?: string;
  /**
   * unreachable: nothing was written; refused: no process listens there either;
   * lost: the head was written and no whole answer came.
   */
  readonly failure?: 'refused' | 'unreachable' | 'lost';
}
