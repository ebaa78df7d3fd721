/**
 * Whether a request was executed by a target.
 *
 * `not-run` is a guarantee: no byte of the request head was written to a
 * target, or the target itself reported that it did not accept the request.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';
