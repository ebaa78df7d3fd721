import type {DomainId, VmId} from '../ids/index.js';
import type {NodeState} from '../state/types.js';
import type {PlanReplica, PlanService, PlanView, PlanVm} from './plan/types.js';
import type {ReplicaEntry} from './replica_entry.js';
import type {TargetsState} from '../targets/types.js';
import {isVmLost} from '../targets/index.js';

/** How long a VM that reports must be absent from the VM list before it counts as leaving. */
const ABSENCE_CONFIRMED_MS = 10_000;

/** Collects the input of a plan: service files, documents and VMs. */
export function buildPlanView(state: NodeState, nowMs: number): PlanView {
  const {replicas, targets, config} = state;
  const free = new Map<DomainId, PlanVm[]>();
  const entries: PlanReplica[] = [];
  for (const document of replicas.documents.values()) {
    const {domain, spares = []} = document;
    free.set(
      domain,
      spares.map(vmId => ({vmId, domain, condition: 'free'})),
    );
    for (const entry of document.replicas) {
      entries.push(createReplica(targets, entry, domain, nowMs));
    }
  }
  const services = [...config.document.services.values()].filter(
    (service): service is PlanService => service.kind === 'model',
  );
  const lackingMs = new Map(
    [...replicas.lackingSinceMs].map(([name, sinceMs]) => [
      name,
      nowMs - sinceMs,
    ]),
  );
  return {services, replicas: entries, free, lackingMs};
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
  if (isVmLost(targets, vmId, nowMs)) {
    return health && absentSinceMs === undefined ? 'lost' : 'gone';
  }
  if (absentSinceMs !== undefined) {
    // It reports but is absent from the VM list: it counts as leaving once that lasts.
    const isConfirmed = nowMs - absentSinceMs >= ABSENCE_CONFIRMED_MS;
    return isConfirmed ? 'leaving' : 'sound';
  }
  const isLeaving =
    health?.record.state === 'leaving' ||
    targets.reports.get(vmId)?.report.state === 'leaving';
  return isLeaving ? 'leaving' : 'sound';
}
