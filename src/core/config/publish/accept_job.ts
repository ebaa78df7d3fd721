import type {ConfigChange} from '../config_change.js';
import type {ConfigHead} from '../config_head.js';
import type {ConfigPublication} from '../config_publication.js';
import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {applyChanges} from '../apply_changes.js';
import {configKey} from '../config_key.js';
import {finishJob} from './finish_job.js';
import {describeTextChange, recordAudit} from '../../audit/index.js';

/** Answers the operator of an accepted publication and puts it in force at this node at once. */
export function acceptJob(
  step: Step,
  job: HeadJob,
  head: ConfigHead,
  publication: ConfigPublication,
): void {
  const {config} = step.state;
  const {revision, changed, publicationId} = publication;
  recordChanges(step, job, changed);
  // A node that is not at the preceding revision reads the complete head first.
  const isNextRevision = config.document.revision === revision - 1;
  if (isNextRevision && head.revision === revision) {
    applyChanges(step, {
      toRevision: revision,
      changes: changed.map(key => createChange(job, key, revision)),
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

function createChange(
  job: HeadJob,
  key: string,
  revision: number,
): ConfigChange {
  const text = job.edits.find(edit => edit.key === key)?.text ?? null;
  return {key, text, revision};
}

function recordChanges(
  step: Step,
  job: HeadJob,
  changed: readonly string[],
): void {
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
