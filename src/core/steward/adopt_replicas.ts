import type {ReplicaTrack} from './types.js';
import type {ModelSpec, ReplicaView} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';
import type {ServiceName, VmId} from '../ids/index.js';
import {logDecision} from '../serving/log_decision.js';
import {hasSaidToLeave} from '../serving/announcements/index.js';
import {refreshTargets} from '../serving/refresh_targets.js';
import {replicaName} from './replica_name.js';

/** Time beyond a load for a replica that an earlier steward left unfinished. */
const FINISH_MS = 3000;

/**
 * Takes over replicas that engines report and this steward didn't plan: those
 * of earlier terms, and those that a late order has made.
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
    // The head is alive and names another replica or none: it has left.
    steward.released.set(key, state.fleetRevision);
    return undefined;
  }
  const spec = specOf(step, replica);
  const size = spec?.size ?? Infinity;
  const stage = head?.membership?.stage;
  const mayServe = !head || (stage !== 'joining' && stage !== 'ready');
  const isWhole = replica.members.size === size;
  const others = [...replica.members]
    .filter(([rank]) => rank !== 0)
    .sort(([a], [b]) => a - b)
    .map(([, engine]) => engine);
  const members: VmId[] = [headId, ...others.map(({vmId}) => vmId)];
  const bornAtMs = new Map<VmId, number>(
    others.map(engine => [engine.vmId, engine.bornAtMs]),
  );
  const lastRecord = head ?? state.departed.get(headId);
  if (lastRecord) bornAtMs.set(headId, lastRecord.bornAtMs);
  // Its head may have been opened since it was last heard: one that lacks a
  // member leaves before its members are used elsewhere.
  const phase = head && isWhole ? (mayServe ? 'open' : 'joining') : 'leaving';
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
    dueAtMs: nowMs + (spec?.loadMs ?? 0) + FINISH_MS,
    headAddress: lastRecord?.address,
    isHeadLeaving: head !== undefined && hasSaidToLeave(state, head),
    isClosed: false,
    phase,
    phaseSinceMs: nowMs,
    headSeenAtMs:
      (state.departed.get(headId)?.atMs ?? nowMs) - state.bounds.listingMs,
  };
}

/** Whether a replica was released, and its head has not said since that it serves. */
function isReleased(
  step: ServingStep,
  key: string,
  {head}: ReplicaView,
): boolean {
  const {released} = step.state.steward;
  const knownAt = released.get(key);
  if (knownAt === undefined) return false;
  if (!head || head.revision <= knownAt) return true;
  const stage = head.membership?.stage;
  if (stage !== 'open' && stage !== 'closing') return true;
  released.delete(key);
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
