import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Verdict} from '../verdict/index.js';
import {createRefusal} from '../errors/index.js';
import {refuseRequest} from '../requests/index.js';

const RETRY_AFTER_MS = 1000;

type OnceErrorName =
  | 'AlreadyRan'
  | 'AlreadyRunning'
  | 'IdempotencyKeyReused'
  | 'MayHaveRun'
  | 'OnceLedgerUnavailable';

/** Refuses a request because of its key, with a retry time if the same key may succeed later. */
export function refuseOnce(
  step: Step,
  record: RequestRecord,
  name: OnceErrorName,
  verdict: Verdict,
): void {
  const isFinal = name === 'AlreadyRan' || name === 'IdempotencyKeyReused';
  const options = isFinal ? {} : {retryAfterMs: RETRY_AFTER_MS};
  refuseRequest(step, record, createRefusal(name, verdict, options));
}
