import type {Step} from '../state/types.js';
import type {VmId} from '../ids/index.js';
import type {VmRecord} from '../store/types.js';
import {TARGET_TIMING} from './target_timing.js';
import {hasFreshReport} from './has_fresh_report.js';
import {logEvent} from '../state/index.js';
import {setPolls} from './set_polls.js';
import {syncApplicationTarget} from './sync_application_target.js';
import {updateTarget} from './update_target.js';

/** A list is not trusted if it lacks at least this many reporting VMs, and at least this share of all known VMs. */
const MIN_MISSING_VMS = 3;
const MISSING_VMS_SHARE = 1 / 3;

/**
 * Applies a VM list. The list lags behind and may be wrong: if it lacks many VMs
 * that still report, they are kept until lists have lacked them for
 * `shrunkListMs`.
 */
export function applyVmList(step: Step, listed: readonly VmRecord[]): void {
  const {targets} = step.state;
  targets.list.lastReadAtMs = step.nowMs;
  const recordByVm = new Map(listed.map(record => [record.vmId, record]));
  retainReportingVms(step, recordByVm);
  const changedVms: VmId[] = [];
  for (const [vmId, record] of recordByVm) {
    if (recordListedVm(step, record)) changedVms.push(vmId);
  }
  for (const vmId of targets.vms.keys()) {
    if (recordByVm.has(vmId)) continue;
    targets.vms.delete(vmId);
    targets.health.get(vmId)!.absentSinceMs = step.nowMs;
    changedVms.push(vmId);
  }
  evictDepartedVms(step);
  for (const vmId of changedVms) {
    const targetId = targets.targetByVm.get(vmId);
    if (targetId) updateTarget(step, targetId);
  }
  setPolls(step);
}

/** Adds the VMs that still report to a list that lacks too many of them. */
function retainReportingVms(step: Step, recordByVm: Map<VmId, VmRecord>): void {
  const {targets} = step.state;
  const missing = [...targets.vms.values()].filter(
    ({vmId}) =>
      !recordByVm.has(vmId) && hasFreshReport(targets, vmId, step.nowMs),
  );
  const limit = Math.max(MIN_MISSING_VMS, targets.vms.size * MISSING_VMS_SHARE);
  const {list} = targets;
  if (missing.length < limit) {
    delete list.shrunkSinceMs;
    return;
  }
  if (list.shrunkSinceMs === undefined) {
    list.shrunkSinceMs = step.nowMs;
    logEvent(step, 'warn', 'targets', 'VM list lacks VMs that report', {
      vms: missing.length,
    });
  }
  const shrunkMs = step.nowMs - list.shrunkSinceMs;
  if (shrunkMs >= TARGET_TIMING.shrunkListMs) return;
  for (const record of missing) recordByVm.set(record.vmId, record);
}

/** Stores a VM's record; returns whether the VM is new, or its state or address has changed. */
function recordListedVm(step: Step, record: VmRecord): boolean {
  const {targets} = step.state;
  const {vmId} = record;
  const health = targets.health.get(vmId);
  if (health) {
    health.record = record;
    delete health.absentSinceMs;
  } else {
    targets.health.set(vmId, {
      record,
      reportsIgnoredUntilMs: -Infinity,
      staleSinceMs: step.nowMs,
      freshSinceMs: -Infinity,
      minDocumentReadAtMs: -Infinity,
      losses: 0,
      lastLossAtMs: -Infinity,
      isLost: false,
    });
  }
  const prior = targets.vms.get(vmId);
  targets.vms.set(vmId, record);
  syncApplicationTarget(step, record);
  return prior?.state !== record.state || prior.address !== record.address;
}

function evictDepartedVms(step: Step): void {
  const {health, reports, vms, targetByVm} = step.state.targets;
  for (const [vmId, {absentSinceMs}] of health) {
    if (vms.has(vmId) || absentSinceMs === undefined) continue;
    if (step.nowMs - absentSinceMs < TARGET_TIMING.departedKeepMs) continue;
    if (targetByVm.has(vmId)) continue;
    health.delete(vmId);
    reports.delete(vmId);
  }
}
