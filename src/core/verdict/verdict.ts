/**
 * Says whether a request may have run at a target.
 *
 * `not-run` is a promise: no byte of the request head was written to a target,
 * or the target itself said that it did not take the request.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';
