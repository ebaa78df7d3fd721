import type {ConfigChange} from '../config_change.js';
import type {ConfigHead} from '../config_head.js';
import type {ConfigPublication} from '../config_publication.js';
import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {applyChanges} from '../apply_changes.js';
import {configKey} from '../config_key.js';
import {finishJob} from './finish_job.js';
import {describeTextChange, recordAudit} from '../../audit/index.js';

/** Answers an accepted publication, and puts it in force here at once. */
export function acceptJob(
  step: Step,
  job: HeadJob,
  head: ConfigHead,
  publication: ConfigPublication,
): void {
  const {config} = step.state;
  const {revision, changed, publicationId} = publication;
  audit(step, job, changed);
  // A node that is not at the base reads the whole head first.
  const isNext = config.document.revision === revision - 1;
  if (isNext && head.revision === revision) {
    applyChanges(step, {
      toRevision: revision,
      changes: changed.map(key => changeOf(job, key, revision)),
      publications: head.publications,
    });
  }
  config.nextHeadAtMs = step.nowMs;
  config.hasReadHead = false;
  finishJob(step, job, {
    kind: 'ok',
    data: {revision, changed, publicationId, isNew: true},
  });
}

function changeOf(job: HeadJob, key: string, revision: number): ConfigChange {
  const text = job.edits.find(edit => edit.key === key)?.text ?? null;
  return {key, text, revision};
}

function audit(step: Step, job: HeadJob, changed: readonly string[]): void {
  for (const key of changed) {
    const before = step.state.config.texts.get(key)?.text;
    const after = job.edits.find(edit => edit.key === key)?.text;
    recordAudit(step, {
      who: job.operator,
      action: 'publish',
      subject: configKey.serviceName(key) ?? key,
      ...describeTextChange(before, after ?? undefined),
    });
  }
}
