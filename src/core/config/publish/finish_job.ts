import type {HeadJob} from './head_job.js';
import type {OperatorAnswer} from '../../operators/types.js';
import type {Step} from '../../state/types.js';

/** Ends a job and answers its operator, if it has one. */
export function finishJob(
  step: Step,
  job: HeadJob,
  answer?: OperatorAnswer,
): void {
  step.state.config.jobs.delete(job.jobId);
  const {operationId} = job;
  if (!operationId || !answer) return;
  step.effects.push({type: 'operatorAnswer', operationId, answer});
}
