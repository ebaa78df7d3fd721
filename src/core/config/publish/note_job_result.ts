import type {ConfigCall} from '../config_call.js';
import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import type {StoreOutcome} from '../../store/types.js';
import {CONFIG_TIMING} from '../config_timing.js';
import {acceptJob} from './accept_job.js';
import {failJob} from './fail_job.js';
import {finishConflict} from './finish_conflict.js';
import {finishJob} from './finish_job.js';
import {planJob} from './plan_job.js';
import {swapHead} from './swap_head.js';
import {textRecord} from '../text_record.js';

/** Failed calls that are retried as long as no swap of the job can have taken effect. */
const MAX_FAILURES = 2;

type JobCall = Extract<ConfigCall, {purpose: 'job'}>;

/** Advances a job by the result of one of its store calls. */
export function noteJobResult(
  step: Step,
  call: JobCall,
  outcome: StoreOutcome,
): void {
  const job = step.state.config.jobs.get(call.jobId);
  if (!job) return;
  switch (call.step) {
    case 'head':
      return noteHeadRead(step, job, outcome);
    case 'text':
      return noteTextWritten(step, job, call.key!, outcome);
    case 'swap':
      return noteSwap(step, job, outcome);
    case 'theirs':
      return noteOtherText(step, job, call.key!, outcome);
  }
}

function noteHeadRead(step: Step, job: HeadJob, outcome: StoreOutcome): void {
  if (outcome.kind === 'ok') planJob(step, job, outcome.entries?.[0]);
  else retryOrFail(step, job);
}

function noteTextWritten(
  step: Step,
  job: HeadJob,
  key: string,
  outcome: StoreOutcome,
): void {
  job.waiting.delete(key);
  // A conflict means that the same text is already stored: its key contains its digest.
  if (outcome.kind === 'ok' || outcome.kind === 'conflict') {
    if (job.waiting.size === 0 && job.retryAtMs === undefined) {
      swapHead(step, job);
    }
    return;
  }
  retryOrFail(step, job);
}

function noteSwap(step: Step, job: HeadJob, outcome: StoreOutcome): void {
  if (outcome.kind === 'ok') {
    accept(step, job);
  } else if (outcome.kind === 'conflict') {
    planJob(step, job, outcome.current);
  } else {
    // Reading the head back, or swapping again, shows whether it took effect.
    if (outcome.kind === 'unknown') job.mayBeAccepted = true;
    retryOrFail(step, job);
  }
}

function accept(step: Step, job: HeadJob): void {
  if (job.kind === 'restore') finishJob(step, job);
  else acceptJob(step, job, job.next!, job.next!.publications[0]!);
}

function noteOtherText(
  step: Step,
  job: HeadJob,
  key: string,
  outcome: StoreOutcome,
): void {
  job.waiting.delete(key);
  const [entry] = outcome.kind === 'ok' ? (outcome.entries ?? []) : [];
  const digest = job.head!.parts[key]!.digest;
  const text = entry ? textRecord.read(entry.value, digest) : undefined;
  const name = key.slice(key.indexOf('/') + 1);
  const index = job.conflicts.findIndex(
    candidate => candidate.service === name,
  );
  const conflict = job.conflicts[index];
  if (conflict && text !== undefined) {
    job.conflicts[index] = {...conflict, theirs: text};
  }
  finishConflict(step, job);
}

function retryOrFail(step: Step, job: HeadJob): void {
  const retryAtMs = step.nowMs + CONFIG_TIMING.publishRetryMs;
  job.failures += 1;
  const mayRetry = job.mayBeAccepted || job.failures <= MAX_FAILURES;
  if (mayRetry && retryAtMs < job.deadlineAtMs) job.retryAtMs = retryAtMs;
  else failJob(step, job);
}
