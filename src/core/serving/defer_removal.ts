import type {ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {isLostEngine} from './is_lost_engine.js';
import {isLeavingEngine} from './announcements/index.js';
import {lapseGraceMs} from './lapse_grace_ms.js';
import {logDecision} from './log_decision.js';

/**
 * Keeps an engine whose entry has disappeared from the store for a while, and
 * returns whether it does: after an absence from the store until live engines
 * have registered again, otherwise for the grace period of a lapsed entry. An
 * engine that is partitioned from the store goes on serving, and may be back
 * before its replica has been formed again without it.
 */
export function deferRemoval(
  step: ServingStep,
  vmId: VmId,
  revision: number,
): boolean {
  const {state, nowMs} = step;
  const engine = state.engines.get(vmId);
  if (!engine) return false;
  const deferred = state.deferredRemovals.get(vmId);
  const keepsEngine =
    !isLostEngine(state, engine) && !isLeavingEngine(state, engine);
  const graceEndMs =
    deferred?.untilMs ??
    (keepsEngine ? nowMs + lapseGraceMs(state.bounds) : -Infinity);
  const untilMs = Math.max(state.deferRemovalsUntilMs, graceEndMs);
  if (nowMs >= untilMs) return false;
  state.deferredRemovals.set(vmId, {revision, untilMs});
  if (deferred) return true;
  logDecision(step, 'info', 'fleet', 'engine kept without an entry', {
    vmId,
    replica: engine.membership?.replicaId,
    untilMs: Math.round(untilMs - nowMs),
    revision,
  });
  return true;
}
