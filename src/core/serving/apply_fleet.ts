import type {EngineRecord} from '../fleet/types.js';
import type {ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from './log_decision.js';
import {rebuildTargets} from './rebuild_targets.js';

interface FleetChange {
  readonly changed: readonly EngineRecord[];
  readonly removed: readonly VmId[];
  readonly revision: number;
  /** The change names every engine: others are gone. */
  readonly isWhole: boolean;
}

/** Takes over what the store says of the engines. */
export function applyFleet(step: ServingStep, change: FleetChange): void {
  const {state} = step;
  const before = state.engines.size;
  if (change.isWhole) state.engines = new Map();
  for (const engine of change.changed) {
    state.engines.set(engine.vmId, engine);
    const lost = state.lostEngines.get(engine.vmId);
    if (lost && lost.bornAtMs !== engine.bornAtMs) {
      state.lostEngines.delete(engine.vmId);
    }
  }
  for (const vmId of change.removed) {
    state.engines.delete(vmId);
    state.lostEngines.delete(vmId);
  }
  state.isFleetKnown = true;
  state.fleetRevision = Math.max(state.fleetRevision, change.revision);
  state.fleetChangedAtMs = step.nowMs;
  rebuildTargets(state);
  if (change.isWhole || change.removed.length > 0) {
    logDecision(step, 'info', 'fleet', 'engines changed', {
      whole: change.isWhole,
      changed: change.changed.length,
      removed: change.removed,
      engines: state.engines.size,
      before,
      targets: state.targets.size,
      revision: change.revision,
    });
  }
}
