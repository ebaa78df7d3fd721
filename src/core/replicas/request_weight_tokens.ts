import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {callStewardStore} from './call_steward_store.js';
import {countLoads} from './count_loads.js';

/** Requests weight-store tokens for loading the next planned replica when it is its turn. */
export function requestWeightTokens(
  step: Step,
  stewardship: Stewardship,
): void {
  const {replicas} = step.state;
  if (step.nowMs < stewardship.weightsAtMs) return;
  const entry = stewardship.document!.replicas.find(
    one =>
      one.state === 'planned' &&
      (replicas.planner === 'first-come' || isTurnOf(step, one)),
  );
  if (!entry) return;
  const granted = stewardship.grants.get(entry.replicaId) ?? 0;
  const count = countLoads(step.state, entry) - granted;
  if (count <= 0) return;
  stewardship.weightsFor = entry.replicaId;
  const operation = {kind: 'takeWeightToken', count} as const;
  callStewardStore(step, stewardship, 'weights', operation);
}

/** Replicas load in order of urgency over all domains; one that takes too long no longer blocks the others. */
function isTurnOf({state, nowMs}: Step, entry: ReplicaEntry): boolean {
  const {loadQueue} = state.replicas;
  for (const {replicaId, sinceMs} of loadQueue) {
    if (replicaId === entry.replicaId) return true;
    if (nowMs - sinceMs < STEWARD_TIMING.weightTurnMs) return false;
  }
  return false;
}
