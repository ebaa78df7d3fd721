import type {ConfigHead} from '../config_head.js';
import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {configKey} from '../config_key.js';
import {digestText} from '../digest_text.js';
import {trimHead} from '../trim_head.js';

/** Creates the next head by applying a publication's edits to a head. */
export function createNextHead(
  step: Step,
  job: HeadJob,
  head: ConfigHead,
): ConfigHead {
  const revision = head.revision + 1;
  const parts = {...head.parts};
  const removed = {...head.removed};
  const changed: string[] = [];
  for (const {key, text} of listEditsAndRemovals(job, head)) {
    const digest = text === null ? undefined : digestText(text);
    if (digest === parts[key]?.digest) continue;
    changed.push(key);
    delete removed[key];
    delete parts[key];
    if (digest === undefined) removed[key] = revision;
    else parts[key] = {digest, revision};
  }
  const {publicationId, operator} = job;
  const publication = {
    revision,
    publicationId,
    operator,
    atMs: Math.round(step.nowMs),
    changed,
  };
  return trimHead({
    revision,
    parts,
    removed,
    floorRevision: head.floorRevision,
    publications: [publication, ...head.publications],
  });
}

function listEditsAndRemovals(
  job: HeadJob,
  head: ConfigHead,
): HeadJob['edits'] {
  if (!job.prune) return job.edits;
  const edited = new Set(job.edits.map(edit => edit.key));
  const pruned = Object.keys(head.parts)
    .filter(key => configKey.serviceName(key) !== undefined)
    .filter(key => !edited.has(key))
    .map(key => ({key, text: null}));
  return [...job.edits, ...pruned];
}
