import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {isStoreUp} from './is_store_up.js';
import {logEvent} from '../state/index.js';

/** Longest delay of less urgent calls after the store answers again; grows with the number of nodes. */
const RESUME_SPREAD_MS_PER_NODE = 50;
const MIN_RESUME_SPREAD_MS = 1000;

/** Updates the store's health from the result of any area's call. */
export function noteStoreOutcome(
  step: Step,
  event: EventOf<'storeResult'>,
): void {
  const {state, nowMs} = step;
  const {store} = state.membership;
  const wasUp = isStoreUp(state, nowMs);
  const {kind} = event.outcome;
  if (kind === 'unavailable' && event.outcome.cause === 'budget') return;
  if (kind === 'unavailable' || kind === 'unknown') {
    store.failures += 1;
    store.failingSinceMs ??= nowMs;
    if (wasUp && !isStoreUp(state, nowMs)) {
      logEvent(step, 'error', 'store', 'store does not answer');
    }
    return;
  }
  store.failures = 0;
  if (!wasUp) resume(step);
  delete store.failingSinceMs;
}

function resume(step: Step): void {
  const {state, nowMs} = step;
  const {store, peers} = state.membership;
  const spreadMs = Math.max(
    MIN_RESUME_SPREAD_MS,
    RESUME_SPREAD_MS_PER_NODE * (peers.size + 1),
  );
  store.resumeAtMs = nowMs + state.random.next() * spreadMs;
  const downMs = nowMs - (store.failingSinceMs ?? nowMs);
  logEvent(step, 'warn', 'store', 'store answers again', {downMs});
}
