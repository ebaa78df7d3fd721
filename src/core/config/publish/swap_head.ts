import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {callConfigStore} from '../call_config_store.js';
import {headRecord} from '../head_record.js';

/**
 * Replaces the head by compare-and-swap, which fails if it changed since it was
 * read. Success is the acceptance.
 */
export function swapHead(step: Step, job: HeadJob): void {
  job.phase = 'swapping';
  delete job.retryAtMs;
  callConfigStore(
    step,
    {purpose: 'job', jobId: job.jobId, step: 'swap'},
    {
      kind: 'compareAndSwap',
      key: headRecord.key,
      expectedVersion: job.headVersion,
      value: headRecord.write(job.next!),
    },
  );
}
