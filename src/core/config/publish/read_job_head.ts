import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {callConfigStore} from '../call_config_store.js';
import {headRecord} from '../head_record.js';

/** Reads the head to replace and drops the pending calls of the previous attempt. */
export function readJobHead(step: Step, job: HeadJob): void {
  const {calls} = step.state.config;
  for (const [operationId, call] of calls) {
    const isOwn = call.purpose === 'job' && call.jobId === job.jobId;
    if (isOwn) calls.delete(operationId); // late results of the previous attempt
  }
  job.waiting.clear();
  job.phase = 'reading';
  delete job.retryAtMs;
  callConfigStore(
    step,
    {purpose: 'job', jobId: job.jobId, step: 'head'},
    {kind: 'get', key: headRecord.key},
  );
}
