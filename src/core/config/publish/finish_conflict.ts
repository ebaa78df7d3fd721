import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {createRefusal} from '../../errors/index.js';
import {finishJob} from './finish_job.js';

/** Refuses a conflicting publication once the other texts are read; the details hold both texts. */
export function finishConflict(step: Step, job: HeadJob): void {
  if (job.waiting.size > 0) return;
  const [first] = job.conflicts;
  const params = {service: first?.service ?? ''};
  finishJob(step, job, {
    kind: 'refused',
    refusal: createRefusal('ConfigConflict', 'not-run', {params}),
    details: {conflicts: job.conflicts},
  });
}
