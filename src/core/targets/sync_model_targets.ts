import type {DomainId, TargetId} from '../ids/index.js';
import type {ReplicaEntry} from '../replicas/types.js';
import type {Step} from '../state/types.js';
import type {Target} from './target.js';
import {addTarget} from './add_target.js';
import {makeId} from '../ids/index.js';
import {removeTarget} from './remove_target.js';
import {updateTarget} from './update_target.js';

/** Synchronizes the targets of a fabric domain with the domain's replica document. */
export function syncModelTargets(step: Step, domain: DomainId): void {
  const {replicas, targets} = step.state;
  const entries = replicas.documents.get(domain)?.replicas ?? [];
  const entryByTarget = new Map(
    entries
      .filter(entry => entry.state === 'serving' || entry.state === 'draining')
      .map(entry => [createTargetId(entry), entry]),
  );
  for (const targetId of replicas.targetsByDomain.get(domain) ?? []) {
    if (!entryByTarget.has(targetId)) removeTarget(step, targetId);
  }
  replicas.targetsByDomain.set(domain, new Set(entryByTarget.keys()));
  for (const [targetId, entry] of entryByTarget) {
    if (targets.byId.has(targetId)) updateTarget(step, targetId);
    else
      addTarget(
        step,
        createTarget(step, targetId, entry, domain),
        entry.leader,
      );
  }
}

/** The target ID contains the generation, since a replica with other VMs is a new target. */
function createTargetId({replicaId, generation}: ReplicaEntry): TargetId {
  return makeId<TargetId>(`${replicaId}.${generation}`);
}

function createTarget(
  {state, nowMs}: Step,
  targetId: TargetId,
  entry: ReplicaEntry,
  domain: DomainId,
): Target {
  const {health, reports} = state.targets;
  const record = health.get(entry.leader)?.record;
  const latest = reports.get(entry.leader);
  return {
    targetId,
    kind: 'model',
    service: entry.service,
    model: entry.model,
    version: entry.version,
    adapters: entry.adapters,
    replicaId: entry.replicaId,
    vms: entry.vms,
    address: record?.address ?? '',
    zone: record?.zone ?? state.self.zone,
    domain,
    slots: entry.slots,
    running: latest?.report.running ?? 0,
    queued: latest?.report.queued ?? 0,
    tokensPerSecond: latest?.report.tokensPerSecond ?? 0,
    reportedAtMs: latest?.reportedAtMs ?? 0,
    bar: 'no-fresh-report',
    barChangedAtMs: nowMs,
  };
}
