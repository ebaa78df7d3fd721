import type {Step} from '../../state/types.js';
import {failJob} from './fail_job.js';
import {openJob} from './open_job.js';
import {readJobHead} from './read_job_head.js';

const RESTORE_JOB_ID = 'restore';

/**
 * Retries failed jobs after their delay, fails those past their deadline, and
 * starts a restore that is due.
 */
export function tickJobs(step: Step): void {
  const {config} = step.state;
  for (const job of config.jobs.values()) {
    if (step.nowMs >= job.deadlineAtMs) failJob(step, job);
    else if (job.retryAtMs !== undefined && step.nowMs >= job.retryAtMs) {
      readJobHead(step, job);
    }
  }
  const {restoreAtMs} = config;
  if (restoreAtMs === undefined || step.nowMs < restoreAtMs) return;
  delete config.restoreAtMs;
  if (!config.jobs.has(RESTORE_JOB_ID)) startRestore(step);
}

function startRestore(step: Step): void {
  const [latest] = step.state.config.publications;
  openJob(step, {
    jobId: RESTORE_JOB_ID,
    kind: 'restore',
    operator: 'system',
    publicationId: latest?.publicationId ?? '',
    edits: [],
    prune: false,
  });
}
