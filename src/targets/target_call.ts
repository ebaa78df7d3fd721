/** Outcome of a call to a target's control path: status and body, or a failure. */
export interface TargetCall {
  readonly status?: number;
  readonly body?: string;
  /**
   * `unreachable`: nothing was written; `refused`: nothing was written, and no
   * process listens at the address; `lost`: the head may have been written, but no complete
   * response arrived.
   */
  readonly failure?: 'refused' | 'unreachable' | 'lost';
}
