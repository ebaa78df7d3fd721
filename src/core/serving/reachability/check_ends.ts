import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {checkEnd} from './check_end.js';
import {LOST_ENGINE_TTL_MS} from '../lost_engine_ttl_ms.js';
import {logDecision} from '../log_decision.js';

/** Peers that are requested to probe an engine answer sooner, even if one of their probes is lost. */
const CORROBORATION_MS = 2000;

/** Compares the suspected ends of engines with the evidence of other nodes, and forgets those that are over. */
export function checkEnds(step: ServingStep): void {
  const {state, nowMs} = step;
  for (const [vmId, end] of state.reachability.suspectedEnds) {
    checkEnd(step, vmId);
    const bornAtMs = state.engines.get(vmId)?.bornAtMs ?? end.bornAtMs;
    const isReplaced = bornAtMs !== end.bornAtMs;
    const ttlMs = end.isConfirmed ? LOST_ENGINE_TTL_MS : CORROBORATION_MS;
    if (!isReplaced && nowMs - end.sinceMs <= ttlMs) continue;
    forgetEnd(step, vmId, isReplaced ? 'replaced' : 'not corroborated');
  }
}

function forgetEnd(step: ServingStep, vmId: VmId, reason: string): void {
  const {state, nowMs} = step;
  const {suspectedEnds} = state.reachability;
  const end = suspectedEnds.get(vmId)!;
  suspectedEnds.delete(vmId);
  if (end.isConfirmed) return;
  state.steward.probeRequests.delete(vmId);
  logDecision(step, 'info', 'reachability', 'end of engine not confirmed', {
    vmId,
    reason,
    sinceMs: Math.round(nowMs - end.sinceMs),
  });
}
