import type {ServingEvent} from '../events.js';
import type {ServingStep} from '../types.js';
import {count} from '../count.js';
import {logDecision} from '../log_decision.js';
import {rebuildTargets} from '../rebuild_targets.js';

type Announced = Extract<ServingEvent, {type: 'engineAnnounced'}>;

/** Part of the quiet time, and the most, by which nodes return later than asked: all of them at once would fill the engine again. */
const RETURN_SPREAD = 0.2;
const MAX_RETURN_SPREAD_MS = 500;

/** Takes an engine at its word: that it leaves, or that it wants no requests for a time. */
export function noteAnnouncement(step: ServingStep, event: Announced): void {
  if (event.isLeaving) noteLeaving(step, event);
  if (event.quietMs !== undefined) noteQuiet(step, event, event.quietMs);
}

/** Holds for the life that said it: an engine that leaves doesn't change its mind. */
function noteLeaving(step: ServingStep, {vmId}: Announced): void {
  const {state, nowMs} = step;
  const {leaving} = state.announcements;
  const engine = state.engines.get(vmId) ?? state.departed.get(vmId);
  if (!engine) return;
  const {bornAtMs} = engine;
  const known = leaving.get(vmId);
  if (known?.bornAtMs === bornAtMs && known.isOwn) return;
  leaving.set(vmId, {bornAtMs, atMs: nowMs, isOwn: true});
  rebuildTargets(state);
  count(step, 'announcements', 1, {kind: 'leaving'});
  logDecision(step, 'info', 'fleet', 'engine says that it leaves', {
    vmId,
    bornAtMs,
    wasTold: known?.bornAtMs === bornAtMs,
    fleetRevision: state.fleetRevision,
  });
}

function noteQuiet(
  step: ServingStep,
  {vmId}: Announced,
  quietMs: number,
): void {
  const {state, nowMs} = step;
  const {quiet} = state.announcements;
  const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, RETURN_SPREAD * quietMs);
  const untilMs = nowMs + quietMs + spreadMs * state.random.next();
  const known = quiet.get(vmId) ?? -Infinity;
  quiet.set(vmId, Math.max(known, untilMs));
  if (known > nowMs) return;
  count(step, 'announcements', 1, {kind: 'quiet'});
  logDecision(step, 'info', 'routing', 'engine wants no requests', {
    vmId,
    quietMs: Math.round(quietMs),
    returnMs: Math.round(untilMs - nowMs),
  });
}
