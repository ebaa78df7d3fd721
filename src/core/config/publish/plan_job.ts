import type {ConfigHead} from '../config_head.js';
import type {HeadJob} from './head_job.js';
import type {StoreEntry} from '../../store/types.js';
import type {Step} from '../../state/types.js';
import {acceptJob} from './accept_job.js';
import {createNextHead} from './create_next_head.js';
import {findConflicts} from './find_conflicts.js';
import {finishJob} from './finish_job.js';
import {headRecord} from '../head_record.js';
import {localHead} from '../local_head.js';
import {readConflictingTexts} from './read_conflicting_texts.js';
import {writeTexts} from './write_texts.js';

const NO_HEAD: ConfigHead = {
  revision: 0,
  parts: {},
  removed: {},
  floorRevision: 0,
  publications: [],
};

/** Plans the next head on top of the stored one; called again after each lost compare-and-swap. */
export function planJob(
  step: Step,
  job: HeadJob,
  entry: StoreEntry | undefined,
): void {
  const {config} = step.state;
  const stored = (entry && headRecord.read(entry.value)) ?? NO_HEAD;
  job.headVersion = entry?.version ?? 0;
  const accepted = stored.publications.find(
    one => one.publicationId === job.publicationId,
  );
  if (accepted) {
    acceptJob(step, job, stored, accepted);
    return;
  }
  // A restored store is behind: the configuration in force at this node is the base instead.
  const isBehind = stored.revision < config.document.revision;
  const head = isBehind ? localHead(config) : stored;
  job.head = head;
  job.baseRevision ??= head.revision;
  if (job.kind === 'restore') planRestore(step, job, isBehind);
  else planPublication(step, job, head, isBehind);
}

function planRestore(step: Step, job: HeadJob, isBehind: boolean): void {
  if (!isBehind) {
    finishJob(step, job);
    return;
  }
  job.next = job.head!;
  writeTexts(step, job, Object.keys(job.next.parts));
}

function planPublication(
  step: Step,
  job: HeadJob,
  head: ConfigHead,
  isBehind: boolean,
): void {
  const next = createNextHead(step, job, head);
  const {changed} = next.publications[0]!;
  const conflicts = findConflicts(job, head, changed);
  if (conflicts.length > 0) {
    readConflictingTexts(step, job, head, conflicts);
    return;
  }
  if (changed.length === 0 && !isBehind) {
    finishJob(step, job, {
      kind: 'ok',
      data: {revision: head.revision, changed: [], isNew: false},
    });
    return;
  }
  job.next = next;
  writeTexts(step, job, isBehind ? Object.keys(next.parts) : changed);
}
