import type {PrefixWatch} from './prefix_watch.js';
import type {Step} from '../state/types.js';
import type {StoreEntry, StoreOutcome} from '../store/types.js';
import type {EventOf} from '../events/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {logEvent} from '../state/index.js';

type OkOutcome = Extract<StoreOutcome, {kind: 'ok'}>;

/** Applies a result to the view; returns the changed keys, or undefined when the call was not the view's. */
export function applyPrefixResult(
  step: Step,
  watch: PrefixWatch,
  {operationId, outcome}: EventOf<'storeResult'>,
): string[] | undefined {
  if (operationId === watch.confirmId) {
    delete watch.confirmId;
    if (outcome.kind !== 'ok') return [];
    return applyList(step, watch, outcome, watch.confirmSentAtMs);
  }
  if (operationId !== watch.operationId) return undefined;
  delete watch.operationId;
  if (outcome.kind !== 'ok') {
    const jitter = 1 + step.state.random.next();
    watch.nextAtMs = step.nowMs + STEWARD_TIMING.retryMs * jitter;
    return [];
  }
  if (watch.kind === 'list') {
    return applyList(step, watch, outcome, watch.sentAtMs);
  }
  return applyChanges(step, watch, outcome);
}

function applyList(
  step: Step,
  watch: PrefixWatch,
  {entries = [], version = 0}: OkOutcome,
  sentAtMs: number,
): string[] {
  if (version < watch.revision) resetNewer(step, watch, version);
  const listed = new Set(entries.map(entry => entry.key));
  const gone = [...watch.entries.values()]
    .filter(({key, value}) => value !== '' && !listed.has(key))
    .filter(known => known.version <= version)
    .map(({key}) => ({key, value: '', version}));
  return mergeEntries(watch, [...entries, ...gone], version, sentAtMs);
}

function applyChanges(
  step: Step,
  watch: PrefixWatch,
  {entries = [], version = 0}: OkOutcome,
): string[] {
  if (version < watch.revision) {
    resetNewer(step, watch, version);
    watch.isListed = false;
    return [];
  }
  return mergeEntries(watch, entries, version, watch.sentAtMs);
}

function mergeEntries(
  watch: PrefixWatch,
  entries: readonly StoreEntry[],
  version: number,
  sentAtMs: number,
): string[] {
  watch.isListed = true;
  watch.revision = Math.max(watch.revision, version);
  watch.confirmedAtMs = Math.max(watch.confirmedAtMs, sentAtMs);
  const changed: string[] = [];
  for (const entry of entries) {
    const known = watch.entries.get(entry.key)?.version ?? 0;
    if (entry.version <= known) continue;
    watch.entries.set(entry.key, entry);
    changed.push(entry.key);
  }
  return changed;
}

/** The store was restored to an older revision: entries newer than that are replaced by what it holds. */
function resetNewer(step: Step, watch: PrefixWatch, version: number): void {
  logEvent(step, 'error', 'replicas', 'store went back to an older revision', {
    prefix: watch.prefix,
    seenRevision: watch.revision,
    revision: version,
  });
  for (const [key, entry] of watch.entries) {
    if (entry.version > version) {
      watch.entries.set(key, {...entry, version: 0});
    }
  }
  watch.revision = version;
}
