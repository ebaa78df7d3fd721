import type {PlanAction, PlanService} from './plan/types.js';
import type {ReplicaEntry} from './replica_entry.js';
import type {ReplicaId, VmId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {isFreeVm} from './is_free_vm.js';
import {nextId} from '../state/index.js';

/** Returns the domain's replicas after a planned step; undefined when the step no longer applies. */
export function applyAction(
  step: Step,
  {fencingToken}: Stewardship,
  replicas: readonly ReplicaEntry[],
  action: PlanAction,
): ReplicaEntry[] | undefined {
  if (action.kind === 'create') {
    const service = findService(step, action.service);
    if (!service || overlaps(replicas, action.vms)) return undefined;
    if (!areFree(step, action.vms)) return undefined;
    const entry = createEntry(step, service, action.vms, fencingToken);
    return [...replicas, entry];
  }
  const entry = replicas.find(one => one.replicaId === action.replicaId);
  if (!entry || entry.state === 'draining') return undefined;
  const next = applyToEntry(step, entry, action, fencingToken);
  if (!next) return undefined;
  const others = replicas.filter(one => one !== entry);
  if (overlaps(others, next.vms)) return undefined;
  return replicas.map(one => (one === entry ? next : one));
}

function applyToEntry(
  step: Step,
  entry: ReplicaEntry,
  action: Exclude<PlanAction, {kind: 'create'}>,
  fencingToken: number,
): ReplicaEntry | undefined {
  switch (action.kind) {
    case 'drain':
      return {...entry, state: 'draining'};
    case 'retire':
      return {...entry, isRetiring: true};
    case 'keep':
      return {...entry, isRetiring: false};
    case 'adapt': {
      const service = findService(step, entry.service);
      if (!service) return undefined;
      const {adapters, slotsPerReplica: slots} = service;
      return {...entry, adapters, slots};
    }
    case 'exchange':
      if (!areFree(step, action.in)) return undefined;
      return exchangeVms(entry, action, fencingToken);
  }
}

function exchangeVms(
  entry: ReplicaEntry,
  action: Extract<PlanAction, {kind: 'exchange'}>,
  fencingToken: number,
): ReplicaEntry | undefined {
  if (!action.out.every(vmId => entry.vms.includes(vmId))) return undefined;
  const staying = entry.vms.filter(vmId => !action.out.includes(vmId));
  const vms = [...staying, ...action.in].sort();
  const leader = staying.includes(entry.leader) ? entry.leader : staying[0]!;
  const generation = entry.generation + 1;
  return {...entry, vms, leader, generation, fencingToken, state: 'planned'};
}

function createEntry(
  step: Step,
  service: PlanService,
  vms: readonly VmId[],
  fencingToken: number,
): ReplicaEntry {
  const sorted = [...vms].sort();
  return {
    replicaId: nextId<ReplicaId>(step, 'rep'),
    generation: 1,
    service: service.name,
    model: service.model,
    version: service.version,
    adapters: service.adapters,
    vms: sorted,
    leader: sorted[0]!,
    slots: service.slotsPerReplica,
    fencingToken,
    state: 'planned',
  };
}

function findService(step: Step, name: string): PlanService | undefined {
  const service = step.state.config.document.services.get(name);
  return service?.kind === 'model' ? service : undefined;
}

function areFree({state, nowMs}: Step, vms: readonly VmId[]): boolean {
  return vms.every(vmId => isFreeVm(state, vmId, nowMs));
}

function overlaps(
  replicas: readonly ReplicaEntry[],
  vms: readonly VmId[],
): boolean {
  return replicas.some(one => one.vms.some(vmId => vms.includes(vmId)));
}
