import type {ServingEvent} from '../events.js';
import type {ServingStep} from '../types.js';
import {recordAnnouncedCold} from '../coldness/index.js';
import {applyLimit} from '../rate_limits/index.js';
import {count} from '../count.js';
import {logDecision} from '../log_decision.js';
import {markTargetsStale} from '../mark_targets_stale.js';

type Announced = Extract<ServingEvent, {type: 'engineAnnounced'}>;

/** Jitter added to a requested back-off, as a fraction of it and at most: if all nodes returned at once, they would fill the engine again. */
const BACKOFF_JITTER = 0.2;
const MAX_BACKOFF_JITTER_MS = 500;

/** Applies what an engine announces: that it is leaving, accepts no requests for a time, limits the requests that it takes, or is cold. */
export function applyAnnouncement(step: ServingStep, event: Announced): void {
  if (event.isLeaving) markLeaving(step, event);
  if (event.backoffMs !== undefined) applyBackoff(step, event, event.backoffMs);
  if (event.limitPerS !== undefined || event.isLimitOver) {
    recordLimit(step, event);
  }
  if (event.coldLeftMs !== undefined) {
    recordAnnouncedCold(step, event.vmId, event.coldLeftMs);
  }
}

/** Records the engine as leaving until it restarts: the announcement is never withdrawn. */
function markLeaving(step: ServingStep, {vmId}: Announced): void {
  const {state, nowMs} = step;
  const {leaving} = state.announcements;
  const engine = state.engines.get(vmId) ?? state.departedEngines.get(vmId);
  if (!engine) return;
  const {bornAtMs} = engine;
  const previous = leaving.get(vmId);
  if (previous?.bornAtMs === bornAtMs && previous.isFirstHand) return;
  leaving.set(vmId, {bornAtMs, atMs: nowMs, isFirstHand: true});
  markTargetsStale(state);
  count(step, 'announcements', 1, {kind: 'leaving'});
  logDecision(step, 'info', 'fleet', 'engine says that it leaves', {
    vmId,
    bornAtMs,
    wasReported: previous?.bornAtMs === bornAtMs,
    fleetRevision: state.fleetRevision,
  });
}

function recordLimit(step: ServingStep, {vmId, limitPerS}: Announced): void {
  const {state, nowMs} = step;
  const engine = state.engines.get(vmId) ?? state.departedEngines.get(vmId);
  if (!engine) return;
  const {bornAtMs} = engine;
  applyLimit(step, vmId, {bornAtMs, perS: limitPerS, atMs: nowMs}, 'engine');
}

function applyBackoff(
  step: ServingStep,
  {vmId}: Announced,
  backoffMs: number,
): void {
  const {state, nowMs} = step;
  const {backoffUntilMs} = state.announcements;
  const jitterMs = Math.min(MAX_BACKOFF_JITTER_MS, BACKOFF_JITTER * backoffMs);
  const untilMs = nowMs + backoffMs + jitterMs * state.random.next();
  const currentUntilMs = backoffUntilMs.get(vmId) ?? -Infinity;
  backoffUntilMs.set(vmId, Math.max(currentUntilMs, untilMs));
  if (currentUntilMs > nowMs) return;
  count(step, 'announcements', 1, {kind: 'quiet'});
  logDecision(step, 'info', 'routing', 'engine wants no requests', {
    vmId,
    quietMs: Math.round(backoffMs),
    returnMs: Math.round(untilMs - nowMs),
  });
}
