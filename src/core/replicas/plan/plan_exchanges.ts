import type {PlanDraft} from './plan_draft.js';
import type {PlanReplica} from './plan_replica.js';
import {isIntact} from './is_intact.js';

/** Repairs replicas with spare VMs of their own domain; only the spare VMs load weights. */
export function planExchanges(draft: PlanDraft): void {
  for (const standing of draft.standings) {
    for (const replica of standing.current) {
      if (isIntact(replica) || standing.missing <= 0) continue;
      if (exchange(draft, replica)) standing.missing -= 1;
    }
  }
}

/** Returns whether the replica will be repaired, now or once its requests have ended. */
function exchange(draft: PlanDraft, replica: PlanReplica): boolean {
  const {entry, domain, vms, isIdle} = replica;
  const out = vms.filter(
    ({condition}) => condition !== 'free' && condition !== 'sound',
  );
  if (out.length === vms.length) return false;
  if (draft.countFree(domain) < out.length) return false;
  if (draft.isExcluded(replica)) return true;
  const spares = draft.takeFree(domain, out.length);
  const hasLostVm = out.some(({condition}) => condition !== 'leaving');
  if (!hasLostVm && !isIdle) return true; // wait until its requests have ended
  draft.addAction({
    kind: 'exchange',
    domain,
    replicaId: entry.replicaId,
    out: out.map(vm => vm.vmId),
    in: spares,
  });
  return true;
}
