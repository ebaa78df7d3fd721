import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {CONFIG_TIMING} from '../config_timing.js';
import {readJobHead} from './read_job_head.js';

/** Properties that the caller sets; the others describe progress. */
type JobRequest = Pick<
  HeadJob,
  | 'jobId'
  | 'kind'
  | 'operationId'
  | 'operator'
  | 'publicationId'
  | 'edits'
  | 'prune'
  | 'baseRevision'
>;

/** Opens a job and starts reading the head to replace. */
export function openJob(step: Step, request: JobRequest): void {
  const job: HeadJob = {
    ...request,
    phase: 'reading',
    headVersion: 0,
    waiting: new Set(),
    conflicts: [],
    mayBeAccepted: false,
    failures: 0,
    deadlineAtMs: step.nowMs + CONFIG_TIMING.publishTimeoutMs,
  };
  step.state.config.jobs.set(job.jobId, job);
  readJobHead(step, job);
}
