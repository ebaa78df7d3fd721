import type {ConfigHead} from '../config_head.js';
import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {callConfigStore} from '../call_config_store.js';
import {configKey} from '../config_key.js';
import {finishConflict} from './finish_conflict.js';

/**
 * Reads the conflicting texts of the other operators, so that the answer can
 * show both versions.
 */
export function readConflictingTexts(
  step: Step,
  job: HeadJob,
  head: ConfigHead,
  keys: readonly string[],
): void {
  job.phase = 'comparing';
  for (const key of keys) {
    const part = head.parts[key];
    const revision = part?.revision ?? head.removed[key] ?? head.revision;
    const writer = head.publications.find(one => one.revision === revision);
    job.conflicts.push({
      service: configKey.serviceName(key) ?? key,
      yours: job.edits.find(edit => edit.key === key)?.text ?? null,
      theirs: null,
      theirRevision: revision,
      theirOperator: writer?.operator ?? 'unknown',
    });
    if (part) readText(step, job, key, part.digest);
  }
  finishConflict(step, job);
}

function readText(step: Step, job: HeadJob, key: string, digest: string): void {
  job.waiting.add(key);
  callConfigStore(
    step,
    {purpose: 'job', jobId: job.jobId, step: 'theirs', key},
    {kind: 'get', key: configKey.storeKey(key, digest)},
  );
}
