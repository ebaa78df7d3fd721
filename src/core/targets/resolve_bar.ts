import type {NodeState} from '../state/types.js';
import type {Target} from './target.js';
import type {TargetBar} from './target_bar.js';
import type {VmId} from '../ids/index.js';
import {TARGET_TIMING} from './target_timing.js';
import {findReplicaEntry} from './find_replica_entry.js';
import {hasFreshReport} from './has_fresh_report.js';
import {matchesReplicaEntry} from './matches_replica_entry.js';

/** Returns why a target must not receive new requests; undefined if it may. */
export function resolveBar(
  state: NodeState,
  target: Target,
  nowMs: number,
): TargetBar | undefined {
  return (
    barByAnnouncement(state, target, nowMs) ??
    barByVms(state, target, nowMs) ??
    barByDocument(state, target)
  );
}

function barByAnnouncement(
  {targets}: NodeState,
  {targetId}: Target,
  nowMs: number,
): TargetBar | undefined {
  const announcedAtMs = targets.leavingAnnouncedAtMs.get(targetId);
  if (announcedAtMs === undefined) return undefined;
  const isCurrent =
    nowMs - announcedAtMs < TARGET_TIMING.leavingAnnouncementTtlMs;
  return isCurrent ? 'told-leaving' : undefined;
}

function barByVms(
  {targets}: NodeState,
  target: Target,
  nowMs: number,
): TargetBar | undefined {
  for (const vmId of target.vms) {
    const record = targets.vms.get(vmId);
    if (!record) return 'vm-missing';
    if (record.state === 'leaving') return 'vm-leaving';
  }
  for (const vmId of target.vms) {
    if (!hasFreshReport(targets, vmId, nowMs)) return 'no-fresh-report';
    const {report} = targets.reports.get(vmId)!;
    if (report.state === 'leaving') return 'vm-leaving';
    if (report.state !== 'ready') return 'assignment-differs';
  }
  return undefined;
}

function barByDocument(
  state: NodeState,
  target: Target,
): TargetBar | undefined {
  if (target.kind === 'application') return undefined;
  const entry = findReplicaEntry(state, target);
  if (entry?.state !== 'serving') return 'document-not-serving';
  const {reports} = state.targets;
  const differs = (vmId: VmId) =>
    !matchesReplicaEntry(reports.get(vmId)!.report.assignment, entry);
  if (target.vms.some(differs)) return 'assignment-differs';
  return needsReread(state, target) ? 'document-not-serving' : undefined;
}

/** Whether a VM of the target was silent for long and the replica document was not read since then. */
function needsReread({targets, replicas}: NodeState, target: Target): boolean {
  return target.vms.some(vmId => {
    const rereadAfterMs =
      targets.health.get(vmId)?.minDocumentReadAtMs ?? -Infinity;
    return replicas.confirmedAtMs <= rereadAfterMs;
  });
}
