import type {ReplicaTrack} from './types.js';
import type {ModelSpec, ReplicaView} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';
import type {ServiceName, VmId} from '../ids/index.js';
import {logDecision} from '../serving/log_decision.js';
import {isLeavingConfirmed} from '../serving/announcements/index.js';
import {refreshTargets} from '../serving/refresh_targets.js';
import {replicaName} from './replica_name.js';

/** Margin over the weight load time for an adopted replica to finish joining. */
const JOIN_MARGIN_MS = 3000;

/**
 * Adopts replicas that engines report and this steward did not plan: those of
 * earlier terms, and those formed by a late order.
 */
export function adoptReplicas(step: ServingStep, service: ServiceName): void {
  const {state} = step;
  const {steward} = state;
  refreshTargets(state);
  for (const [key, replica] of state.replicas) {
    if (replica.service !== service) continue;
    if (steward.tracks.has(key) || isReleased(step, key, replica)) continue;
    if (replicaName.isSpare(replica.replicaId)) continue;
    const track = createTrack(step, key, replica);
    if (track) steward.tracks.set(key, track);
  }
}

function createTrack(
  step: ServingStep,
  key: string,
  replica: ReplicaView,
): ReplicaTrack | undefined {
  const {state, nowMs} = step;
  const {steward} = state;
  const {head} = replica;
  const headId = head?.vmId ?? replicaName.headOf(replica.replicaId);
  const headRecord = state.engines.get(headId);
  if (!head && headRecord) {
    // The head is alive and reports another replica or none: it has left this one.
    steward.releasedReplicas.set(key, state.fleetRevision);
    return undefined;
  }
  const spec = specOf(step, replica);
  const size = spec?.size ?? Infinity;
  const stage = head?.membership?.stage;
  const mayServe = !head || (stage !== 'joining' && stage !== 'ready');
  const hasAllMembers = replica.members.size === size;
  const others = [...replica.members]
    .filter(([rank]) => rank !== 0)
    .sort(([a], [b]) => a - b)
    .map(([, engine]) => engine);
  const members: VmId[] = [headId, ...others.map(({vmId}) => vmId)];
  const bornAtMs = new Map<VmId, number>(
    others.map(engine => [engine.vmId, engine.bornAtMs]),
  );
  const lastRecord = head ?? state.departedEngines.get(headId);
  if (lastRecord) bornAtMs.set(headId, lastRecord.bornAtMs);
  // The head may have been opened since its last record. If a member is missing,
  // the head has to leave before the other members are used elsewhere.
  const phase =
    head && hasAllMembers ? (mayServe ? 'open' : 'joining') : 'leaving';
  logDecision(step, 'info', 'steward', 'replica adopted', {
    replica: replica.replicaId,
    epoch: replica.epoch,
    stage,
    members: members.length,
    phase,
    term: steward.term,
  });
  return {
    key,
    replicaId: replica.replicaId,
    epoch: replica.epoch,
    service: replica.service,
    domain: replica.domain,
    model: (head ?? others[0])!.models[0]!,
    members,
    bornAtMs,
    joinDeadlineMs: nowMs + (spec?.loadMs ?? 0) + JOIN_MARGIN_MS,
    headAddress: lastRecord?.address,
    isHeadLeaving: head !== undefined && isLeavingConfirmed(state, head),
    isClosed: false,
    phase,
    phaseSinceMs: nowMs,
    headSeenAtMs:
      (state.departedEngines.get(headId)?.atMs ?? nowMs) -
      state.bounds.listingMs,
  };
}

/** Whether a replica was released and its head has not reported since that it serves. A newer report that it does undoes the release. */
function isReleased(
  step: ServingStep,
  key: string,
  {head}: ReplicaView,
): boolean {
  const {releasedReplicas} = step.state.steward;
  const releasedRevision = releasedReplicas.get(key);
  if (releasedRevision === undefined) return false;
  if (!head || head.revision <= releasedRevision) return true;
  const stage = head.membership?.stage;
  if (stage !== 'open' && stage !== 'closing') return true;
  releasedReplicas.delete(key);
  return false;
}

function specOf(
  step: ServingStep,
  replica: ReplicaView,
): ModelSpec | undefined {
  const costs = step.state.config?.services.get(replica.service)?.engine;
  const models = [...replica.members.values()][0]?.models ?? [];
  return costs?.models.find(({name}) => name === models[0]);
}
