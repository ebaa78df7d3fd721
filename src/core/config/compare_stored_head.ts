import type {ConfigHead} from './config_head.js';
import type {StoreEntry} from '../store/types.js';
import type {Step} from '../state/types.js';
import {CONFIG_TIMING} from './config_timing.js';
import {callConfigStore} from './call_config_store.js';
import {configKey} from './config_key.js';
import {countMetric, logEvent} from '../state/index.js';
import {finishReading} from './finish_reading.js';
import {headRecord} from './head_record.js';

/**
 * Compares the stored head with the revision in force; `entry` is undefined
 * when the store has none.
 */
export function compareStoredHead(
  step: Step,
  entry: StoreEntry | undefined,
): void {
  const {config} = step.state;
  config.hasReadHead = true;
  config.headVersion = entry?.version ?? 0;
  const head = entry && headRecord.read(entry.value);
  if (entry && entry.value !== '' && !head) {
    reportMismatch(step, 'unreadable-head', 0);
    return;
  }
  const {revision} = config.document;
  const storeRevision = head?.revision ?? 0;
  if (storeRevision < revision) scheduleRestore(step, storeRevision);
  else if (head && storeRevision > revision) startReading(step, head);
  else if (head) checkSamePublication(step, head);
}

/**
 * The store was restored or lost its content: this node keeps its revision and
 * schedules writing it back.
 */
function scheduleRestore(step: Step, storeRevision: number): void {
  const {config, random} = step.state;
  if (config.restoreAtMs !== undefined || config.jobs.has('restore')) return;
  reportMismatch(step, 'store-behind', storeRevision);
  const delayMs = random.next() * CONFIG_TIMING.restoreSpreadMs;
  config.restoreAtMs = step.nowMs + delayMs;
}

function checkSamePublication(step: Step, head: ConfigHead): void {
  const {config} = step.state;
  delete config.restoreAtMs;
  const [known] = config.publications;
  const [stored] = head.publications;
  if (!known || !stored || known.revision !== stored.revision) return;
  if (known.publicationId === stored.publicationId) return;
  reportMismatch(step, 'same-revision-differs', head.revision);
}

function reportMismatch(
  step: Step,
  cause: string,
  storeRevision: number,
): void {
  const {revision} = step.state.config.document;
  countMetric(step, 'configAlarms', 1, {cause});
  const message = 'configuration differs between store and node';
  logEvent(step, 'error', 'config', message, {cause, revision, storeRevision});
}

/** Fetches the texts whose digests differ from those in force. */
function startReading(step: Step, head: ConfigHead): void {
  const {config} = step.state;
  if (config.reading && config.reading.head.revision >= head.revision) return;
  const reading = {
    head,
    texts: new Map<string, string>(),
    waiting: new Set<never>(),
  };
  config.reading = reading;
  for (const [key, {digest}] of Object.entries(head.parts)) {
    if (config.texts.get(key)?.digest === digest) continue;
    fetchText(step, key, digest);
  }
  finishReading(step);
}

function fetchText(step: Step, key: string, digest: string): void {
  const operationId = callConfigStore(
    step,
    {purpose: 'text', key, digest},
    {kind: 'get', key: configKey.storeKey(key, digest)},
  );
  step.state.config.reading!.waiting.add(operationId);
}
