import type {EngineChange, EngineRecord} from '../fleet/types.js';
import type {ServingStep} from './types.js';
import {deferRemoval} from './defer_removal.js';
import type {VmId} from '../ids/index.js';
import {recordColdEntry} from './coldness/index.js';
import {isStaleRestoredEntry} from './restore/index.js';
import {logDecision} from './log_decision.js';
import {markTargetsStale} from './mark_targets_stale.js';
import {storeVersion} from '../store/index.js';

/** Changes older than this are no longer forwarded to peers. */
const CHANGE_RETENTION_MS = 1000;

interface FleetChange {
  readonly changes: readonly EngineChange[];
  /** Revision of the store; undefined for changes that a peer forwarded. */
  readonly revision?: number;
  /** The changes are the full list: engines that it lacks are removed. */
  readonly isFullList: boolean;
}

/**
 * Applies changes of engines from the store or from a peer. A change is ignored
 * unless its revision is newer than that of the engine's last change, so that changes
 * may arrive in any order.
 */
export function applyFleet(step: ServingStep, change: FleetChange): void {
  const {state, nowMs} = step;
  const before = state.engines.size;
  const removed: VmId[] = [];
  let hasChanged = false;
  const isFromStore = change.revision !== undefined;
  for (const engineChange of change.changes) {
    const {vmId, revision, engine} = engineChange;
    if (isFromStore && !engine && deferRemoval(step, vmId, revision)) continue;
    if (change.isFullList && isStaleRestoredEntry(step, engineChange)) continue;
    if (!applyChange(step, engineChange)) continue;
    hasChanged = true;
    if (!engineChange.engine) removed.push(engineChange.vmId);
  }
  if (change.isFullList) removed.push(...removeUnlisted(step, change));
  if (change.revision !== undefined) {
    state.isFleetKnown = true;
    state.fleetRevision = Math.max(state.fleetRevision, change.revision);
  }
  if (!hasChanged && removed.length === 0) return;
  state.fleetChangedAtMs = nowMs;
  state.engineCount = state.engines.size;
  markTargetsStale(state);
  if (!change.isFullList && removed.length === 0) return;
  logDecision(step, 'info', 'fleet', 'engines changed', {
    whole: change.isFullList,
    changed: change.changes.length,
    removed,
    engines: state.engines.size,
    before,
    revision: change.revision,
  });
}

/** Returns false for a change that is no newer than the engine's last change. */
function applyChange(step: ServingStep, change: EngineChange): boolean {
  const {state, nowMs} = step;
  const {vmId, revision, engine} = change;
  if (revision <= (state.engineRevisions.get(vmId) ?? -1)) return false;
  state.engineRevisions.set(vmId, revision);
  state.recentChanges = state.recentChanges.filter(
    ({atMs}) => nowMs - atMs < CHANGE_RETENTION_MS,
  );
  state.recentChanges.push({change, atMs: nowMs});
  if (!engine) {
    removeEngine(step, vmId);
    return true;
  }
  const previous = state.engines.get(vmId);
  const known = previous ?? state.departedEngines.get(vmId);
  state.departedEngines.delete(vmId);
  state.deferredRemovals.delete(vmId);
  state.heartbeatAtMs.set(vmId, nowMs);
  if (previous) state.revisionSum -= storeVersion.checksumOf(previous.revision);
  state.revisionSum += storeVersion.checksumOf(engine.revision);
  state.engines.set(vmId, engine);
  recordLeaving(step, engine);
  recordColdEntry(step, engine, {
    isFirstList: !state.isFleetKnown,
    knownBornAtMs: known?.bornAtMs,
  });
  const lost = state.lostEngines.get(vmId);
  if (lost && lost.bornAtMs !== engine.bornAtMs) {
    state.lostEngines.delete(vmId);
  }
  return true;
}

function recordLeaving(
  {state, nowMs}: ServingStep,
  {vmId, bornAtMs, isLeaving}: EngineRecord,
): void {
  const {leavingEngines} = state;
  if (!isLeaving) leavingEngines.delete(vmId);
  else if (leavingEngines.get(vmId)?.bornAtMs !== bornAtMs) {
    leavingEngines.set(vmId, {bornAtMs, atMs: nowMs});
  }
}

/** Removes engines missing from a full list, unless they changed after the list's revision; returns their ids. */
function removeUnlisted(step: ServingStep, change: FleetChange): VmId[] {
  const {state} = step;
  const isFromStore = change.revision !== undefined;
  const listed = new Set<VmId>(change.changes.map(({vmId}) => vmId));
  const removed: VmId[] = [];
  for (const vmId of state.engines.keys()) {
    const changedAtRevision = state.engineRevisions.get(vmId) ?? 0;
    const revision = change.revision ?? 0;
    if (listed.has(vmId) || changedAtRevision > revision) continue;
    if (isFromStore && deferRemoval(step, vmId, revision)) continue;
    removeEngine(step, vmId);
    removed.push(vmId);
  }
  return removed;
}

function removeEngine({state, nowMs}: ServingStep, vmId: VmId): void {
  const record = state.engines.get(vmId);
  if (record) {
    const {address, bornAtMs, sequence, revision} = record;
    state.revisionSum -= storeVersion.checksumOf(revision);
    state.departedEngines.set(vmId, {
      address,
      bornAtMs,
      sequence,
      revision,
      atMs: nowMs,
    });
  }
  state.engines.delete(vmId);
  state.deferredRemovals.delete(vmId);
  state.heartbeatAtMs.delete(vmId);
  state.lostEngines.delete(vmId);
}
