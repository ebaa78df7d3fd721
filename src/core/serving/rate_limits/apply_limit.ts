import type {EngineLimit} from './types.js';
import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {count} from '../count.js';
import {logDecision} from '../log_decision.js';

/** Records an engine's latest announcement of its limit. `source`: the engine itself, or the peer that reports it. */
export function applyLimit(
  step: ServingStep,
  vmId: VmId,
  limit: EngineLimit,
  source: string,
): void {
  const {state, nowMs} = step;
  const {limits} = state.rateLimits;
  const engine = state.engines.get(vmId) ?? state.departedEngines.get(vmId);
  if (engine?.bornAtMs !== limit.bornAtMs) return;
  const known = limits.get(vmId);
  const isSameProcess = known?.bornAtMs === limit.bornAtMs;
  if (isSameProcess && known.atMs >= limit.atMs) return;
  const beforePerS = isSameProcess ? known.perS : undefined;
  if (limit.perS === undefined && beforePerS === undefined) return;
  limits.set(vmId, limit);
  if (limit.perS === beforePerS) return;
  count(step, 'announcements', 1, {
    kind: limit.perS === undefined ? 'unlimited' : 'limited',
  });
  logDecision(step, 'info', 'routing', 'engine names a limit', {
    vmId,
    perS: limit.perS ?? 'none',
    before: beforePerS ?? 'none',
    source,
    ageMs: Math.round(nowMs - limit.atMs),
  });
}
