import type {DomainDocument} from '../replicas/types.js';
import type {NodeState} from '../state/types.js';
import type {ReplicasAnswer} from './replicas_answer.js';
import type {VmId} from '../ids/index.js';

type ReplicaStatus = ReplicasAnswer['replicas'][number];

/** Describes every replica, and lists the live engine VMs that belong to none. */
export function describeReplicas(state: NodeState): ReplicasAnswer {
  const bars = new Map<string, string>();
  for (const {replicaId, bar} of state.targets.byId.values()) {
    if (replicaId && bar) bars.set(replicaId, bar);
  }
  const documents = [...state.replicas.documents.values()];
  const replicas = documents
    .flatMap(document => describeDomain(document, bars))
    .sort((a, b) => (a.replicaId < b.replicaId ? -1 : 1));
  const taken = new Set(replicas.flatMap(replica => replica.vms));
  return {replicas, spareVms: findSpareVms(state, taken)};
}

function describeDomain(
  {domain, replicas}: DomainDocument,
  bars: ReadonlyMap<string, string>,
): ReplicaStatus[] {
  return replicas.map(replica => {
    const bar = bars.get(replica.replicaId);
    return {
      replicaId: replica.replicaId,
      domain,
      service: replica.service,
      model: replica.model,
      version: replica.version,
      state: replica.state,
      vms: replica.vms,
      leader: replica.leader,
      fencingToken: replica.fencingToken,
      ...(bar && {bar}),
    };
  });
}

function findSpareVms(state: NodeState, taken: ReadonlySet<VmId>): VmId[] {
  return [...state.targets.vms.values()]
    .filter(vm => vm.kind === 'engine' && vm.state === 'live')
    .map(vm => vm.vmId)
    .filter(vmId => !taken.has(vmId))
    .sort();
}
