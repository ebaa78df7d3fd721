import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from '../serving/log_decision.js';
import {markTargetsStale} from '../serving/mark_targets_stale.js';

/** Records that an engine's current incarnation has ended, before its entry in the store expires. `proof` is logged. */
export function markEngineLost(
  step: ServingStep,
  vmId: VmId,
  proof: string,
): void {
  const {state, nowMs} = step;
  const engine = state.engines.get(vmId);
  if (!engine) return;
  const {bornAtMs} = engine;
  if (state.lostEngines.get(vmId)?.bornAtMs === bornAtMs) return;
  state.lostEngines.set(vmId, {bornAtMs, atMs: nowMs});
  state.steward.probeRequests.delete(vmId);
  markTargetsStale(state);
  logDecision(step, 'warn', 'fleet', 'engine lost', {
    vmId,
    proof,
    replica: engine.membership?.replicaId,
    fleetRevision: state.fleetRevision,
  });
}
