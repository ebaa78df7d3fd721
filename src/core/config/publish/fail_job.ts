import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {createRefusal} from '../../errors/index.js';
import {finishJob} from './finish_job.js';

const RETRY_AFTER_MS = 5000;

/** Ends a job whose store calls failed; the refusal states whether it may have been accepted. */
export function failJob(step: Step, job: HeadJob): void {
  const refusal = job.mayBeAccepted
    ? createRefusal('StoreUnknown', 'may-have-run')
    : createRefusal('StoreUnavailable', 'not-run', {
        retryAfterMs: RETRY_AFTER_MS,
      });
  finishJob(step, job, {kind: 'refused', refusal});
}
