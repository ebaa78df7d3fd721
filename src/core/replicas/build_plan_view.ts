import type {DomainId, VmId} from '../ids/index.js';
import type {NodeState} from '../state/types.js';
import type {PlanReplica, PlanService, PlanView, PlanVm} from './plan/types.js';
import type {ReplicaEntry} from './replica_entry.js';
import type {TargetsState} from '../targets/types.js';
import type {VmHealth} from '../targets/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {isFresh, isLost} from '../targets/index.js';

const ABSENCE_BELIEVED_MS = 10_000;

/** Gathers what a plan follows from: files, documents, VMs. */
export function buildPlanView(state: NodeState, nowMs: number): PlanView {
  const {replicas, targets, config} = state;
  const free = new Map<DomainId, PlanVm[]>();
  const entries: PlanReplica[] = [];
  const taken = new Set<VmId>();
  for (const {domain, replicas: listed} of replicas.documents.values()) {
    free.set(domain, []);
    for (const entry of listed) {
      for (const vmId of entry.vms) taken.add(vmId);
      entries.push(createReplica(targets, entry, domain, nowMs));
    }
  }
  for (const [vmId, health] of targets.health) {
    const {domain} = health.record;
    if (domain === undefined || taken.has(vmId)) continue;
    if (!isFree(targets, vmId, health, nowMs)) continue;
    const vms = free.get(domain) ?? [];
    vms.push({vmId, domain, condition: 'free', losses: health.losses});
    free.set(domain, vms);
  }
  const services = [...config.document.services.values()].filter(
    (service): service is PlanService => service.kind === 'model',
  );
  return {services, replicas: entries, free};
}

function createReplica(
  targets: TargetsState,
  entry: ReplicaEntry,
  domain: DomainId,
  nowMs: number,
): PlanReplica {
  const vms = entry.vms.map(vmId => ({
    vmId,
    domain,
    condition: resolveCondition(targets, vmId, nowMs),
    losses: targets.health.get(vmId)?.losses ?? 0,
  }));
  const leader = targets.reports.get(entry.leader)?.report;
  const isIdle = leader?.running === 0 && leader.queued === 0;
  return {entry, domain, vms, isIdle};
}

function resolveCondition(
  targets: TargetsState,
  vmId: VmId,
  nowMs: number,
): PlanVm['condition'] {
  const health = targets.health.get(vmId);
  const absentSinceMs = health?.absentSinceMs;
  if (isLost(targets, vmId, nowMs)) {
    return health && absentSinceMs === undefined ? 'lost' : 'gone';
  }
  if (absentSinceMs !== undefined) {
    // It reports, but the list lacks it: believed once that lasts.
    const isBelieved = nowMs - absentSinceMs >= ABSENCE_BELIEVED_MS;
    return isBelieved ? 'leaving' : 'sound';
  }
  const isLeaving =
    health?.record.state === 'leaving' ||
    targets.reports.get(vmId)?.report.state === 'leaving';
  return isLeaving ? 'leaving' : 'sound';
}

function isFree(
  targets: TargetsState,
  vmId: VmId,
  health: VmHealth,
  nowMs: number,
): boolean {
  const {record, losses, steadySinceMs} = health;
  if (record.kind !== 'engine' || record.state !== 'live') return false;
  if (!targets.vms.has(vmId) || !isFresh(targets, vmId, nowMs)) return false;
  const {report} = targets.reports.get(vmId)!;
  if (report.state !== 'idle' || report.assignment) return false;
  return nowMs - steadySinceMs >= resolveHoldMs(losses);
}

/** A VM that was lost must be steady for longer each time before it is used again. */
function resolveHoldMs(losses: number): number {
  if (losses === 0) return 0;
  const holdMs = STEWARD_TIMING.holdBaseMs * 2 ** (losses - 1);
  return Math.min(holdMs, STEWARD_TIMING.holdMaxMs);
}
