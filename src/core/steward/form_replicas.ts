import type {DomainId, ServiceName, VmId} from '../ids/index.js';
import type {EngineCosts, EngineRecord, ModelSpec} from '../fleet/types.js';
import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {completeReplica} from './complete_replica.js';
import {countFreeLoadSlots} from './count_free_load_slots.js';
import {rankWeightLocality} from './rank_weight_locality.js';
import {isCold} from './is_cold.js';
import {advanceReplica} from './advance_replica.js';
import {listOverdueEngines} from './list_overdue_engines.js';
import {logDecision} from '../serving/log_decision.js';
import {nextEpoch} from './next_epoch.js';
import {recordWeightLoad} from './record_weight_load.js';
import {supplyOf} from './supply_of.js';
import {replicaKey} from '../fleet/index.js';
import {replicaName} from './replica_name.js';

/** How long to wait for an engine with the weights to return before another engine loads them. */
const COLD_WAIT_MS = 1500;
/**
 * The same wait for any model but the neediest. It is longer, so that engines
 * with the neediest model's weights are reassigned only when the lost members
 * of their replica do not return.
 */
const LESS_NEEDED_WAIT_MS = 7000;
/** Usual time for a crashed engine to return. */
const RETURN_WAIT_MS = 4000;
/** Margin over the weight load time before a joining replica counts as failed. */
const JOIN_MARGIN_MS = 15_000;

interface Candidate {
  readonly model: ModelSpec;
  readonly members: readonly EngineRecord[];
  /** Members that first have to load the weights. */
  readonly coldEngines: readonly EngineRecord[];
}

/** Forms as many replicas as possible from the free engines of a domain; removes the used engines from `free`. */
export function formReplicas(
  step: ServingStep,
  service: ServiceName,
  costs: EngineCosts,
  domain: string,
  free: EngineRecord[],
): void {
  for (;;) {
    const candidate = selectCandidate(step, costs, domain, free);
    if (!candidate) return;
    for (const member of candidate.members) {
      free.splice(free.indexOf(member), 1);
    }
    startReplica(step, service, domain, candidate);
  }
}

/** Selects the replica to form next: of the model with the least supply for its share of the work, among those that can be formed now. */
function selectCandidate(
  step: ServingStep,
  costs: EngineCosts,
  domain: string,
  free: readonly EngineRecord[],
): Candidate | undefined {
  const {steward} = step.state;
  const overdueEngines = listOverdueEngines(step.state, step.nowMs);
  const models = [...costs.models].sort(
    (a, b) =>
      supplyOf(step, a) - supplyOf(step, b) || b.workShare - a.workShare,
  );
  for (const model of models) {
    if (!isAllowed(step, domain, model)) continue;
    const key = `${domain}/${model.name}`;
    const members = [...free]
      .sort((a, b) => compareFitness(step, overdueEngines, a, b, model))
      .slice(0, model.size);
    const coldEngines = members.filter(one => isCold(one, model.name));
    if (members.length < model.size) {
      steward.warmWaitSinceMs.delete(key);
      if (model === models[0]) {
        if (completeReplica(step, costs, domain, free, model)) return undefined;
      }
      continue;
    }
    const isNeediest = model === models[0];
    if (coldEngines.length === 0 && !isNeediest) {
      if (!mayServeOther(step, domain, models[0]!, free)) return undefined;
    }
    if (coldEngines.length === 0) {
      steward.warmWaitSinceMs.delete(key);
      return {model, members, coldEngines};
    }
    const waitMs = isNeediest ? COLD_WAIT_MS : LESS_NEEDED_WAIT_MS;
    const isDue = mayLoad(step, costs, {key, waitMs, members, coldEngines});
    return isDue
      ? {model, members, coldEngines}
      : selectWarm(step, models, domain, free, overdueEngines);
  }
  return undefined;
}

/**
 * Selects a replica that needs no weight load, from engines without weights of
 * the neediest model: it serves while that model waits for warm engines.
 */
function selectWarm(
  step: ServingStep,
  models: readonly ModelSpec[],
  domain: string,
  free: readonly EngineRecord[],
  overdueEngines: ReadonlySet<VmId>,
): Candidate | undefined {
  const [neediest, ...others] = models;
  for (const model of others) {
    if (!isAllowed(step, domain, model)) continue;
    const members = free
      .filter(one => !isCold(one, model.name) && isCold(one, neediest!.name))
      .sort((a, b) => compareFitness(step, overdueEngines, a, b, model))
      .slice(0, model.size);
    if (members.length === model.size) return {model, members, coldEngines: []};
  }
  return undefined;
}

function isAllowed(
  step: ServingStep,
  domain: string,
  model: ModelSpec,
): boolean {
  const {reservedDomains} = step.state.steward;
  const reservation = reservedDomains.get(domain);
  if (!reservation) return true;
  if (step.nowMs < reservation.untilMs) return reservation.model === model.name;
  reservedDomains.delete(domain);
  return true;
}

/** Whether engines may be given to another model than the neediest: if that one lacks a single engine, the lost member first gets time to return. */
function mayServeOther(
  step: ServingStep,
  domain: string,
  neediest: ModelSpec,
  free: readonly EngineRecord[],
): boolean {
  const {state, nowMs} = step;
  const {warmWaitSinceMs} = state.steward;
  const key = `${domain}/${neediest.name}/one-short`;
  if (free.length !== neediest.size - 1) {
    warmWaitSinceMs.delete(key);
    return true;
  }
  const since = warmWaitSinceMs.get(key) ?? nowMs;
  warmWaitSinceMs.set(key, since);
  return nowMs - since >= RETURN_WAIT_MS;
}

/** A replica that could be formed after weight loads; `key` identifies the wait for warm engines. */
interface ColdCandidate {
  readonly key: string;
  readonly waitMs: number;
  readonly members: readonly EngineRecord[];
  readonly coldEngines: readonly EngineRecord[];
}

/** Whether engines may load weights for a replica: empty engines at once, others after `waitMs` without enough warm engines. */
function mayLoad(
  step: ServingStep,
  costs: EngineCosts,
  {key, waitMs, members, coldEngines}: ColdCandidate,
): boolean {
  const {state, nowMs} = step;
  const {warmWaitSinceMs} = state.steward;
  const since = warmWaitSinceMs.get(key) ?? nowMs;
  warmWaitSinceMs.set(key, since);
  const isEmpty = members.every(
    ({models, stagedModels}) => models.length + stagedModels.length === 0,
  );
  if (!isEmpty && nowMs - since < waitMs) return false;
  return (
    countFreeLoadSlots(step, costs) >=
    Math.min(coldEngines.length, costs.concurrentLoads)
  );
}

/** Sorts engines with an overdue heartbeat last, since a replica with one may not last, then slow engines, then by distance to the model's weights. */
function compareFitness(
  step: ServingStep,
  overdueEngines: ReadonlySet<VmId>,
  a: EngineRecord,
  b: EngineRecord,
  model: ModelSpec,
): number {
  const {slowEngines} = step.state.steward;
  const overdueOrder =
    Number(overdueEngines.has(a.vmId)) - Number(overdueEngines.has(b.vmId));
  const slowOrder =
    Number(slowEngines.has(a.vmId)) - Number(slowEngines.has(b.vmId));
  return (
    overdueOrder ||
    slowOrder ||
    rankWeightLocality(a, model.name) - rankWeightLocality(b, model.name) ||
    (a.vmId < b.vmId ? -1 : 1)
  );
}

function startReplica(
  step: ServingStep,
  service: ServiceName,
  domain: string,
  candidate: Candidate,
): void {
  const {state, nowMs} = step;
  const {steward} = state;
  const {model, members, coldEngines} = candidate;
  const head = members[0]!;
  const epoch = nextEpoch(steward);
  const replicaId = replicaName.ofReplica(head.vmId, epoch);
  const key = replicaKey(replicaId, epoch);
  for (const {vmId} of coldEngines) recordWeightLoad(step, vmId, model.loadMs);
  const track: ReplicaTrack = {
    key,
    replicaId,
    epoch,
    service,
    domain: domain === '' ? undefined : (domain as DomainId),
    model: model.name,
    members: members.map(({vmId}) => vmId),
    bornAtMs: new Map<VmId, number>(
      members.map(({vmId, bornAtMs}) => [vmId, bornAtMs]),
    ),
    joinDeadlineMs: nowMs + model.loadMs + JOIN_MARGIN_MS,
    headAddress: head.address,
    isHeadLeaving: false,
    isClosed: false,
    phase: 'joining',
    phaseSinceMs: nowMs,
    headSeenAtMs: nowMs,
  };
  steward.tracks.set(key, track);
  if (steward.reservedDomains.get(domain)?.model === model.name) {
    steward.reservedDomains.delete(domain);
  }
  logDecision(step, 'info', 'steward', 'replica planned', {
    replica: replicaId,
    epoch,
    model: model.name,
    domain,
    members: track.members,
    loads: coldEngines.length,
    fleetRevision: state.fleetRevision,
    fleetAgeMs: Math.round(nowMs - state.fleetChangedAtMs),
  });
  advanceReplica(step, track);
}
