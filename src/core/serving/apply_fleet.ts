import type {EngineChange} from '../fleet/types.js';
import type {ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {isOlderCopy} from './restore/index.js';
import {logDecision} from './log_decision.js';
import {rebuildTargets} from './rebuild_targets.js';
import {storeVersion} from '../store/index.js';

/** Changes older than this are passed on to no peer. */
const KEPT_MS = 1000;

interface FleetChange {
  readonly changes: readonly EngineChange[];
  /** Of the store; undefined for changes that a peer passed on. */
  readonly revision?: number;
  /** The changes name every engine: others are gone. */
  readonly isWhole: boolean;
}

/**
 * Takes over what the store, or a peer, says of the engines. Each engine's
 * entry only ever goes forward, whatever the order in which changes arrive.
 */
export function applyFleet(step: ServingStep, change: FleetChange): void {
  const {state, nowMs} = step;
  const before = state.engines.size;
  const removed: VmId[] = [];
  let hasChanged = false;
  const isOwnReading = change.revision !== undefined;
  const holds = isOwnReading && nowMs < state.holdRemovalsUntilMs;
  for (const one of change.changes) {
    if (holds && !one.engine && state.engines.has(one.vmId)) {
      state.heldRemovals.set(one.vmId, one.revision);
      continue;
    }
    if (change.isWhole && isOlderCopy(step, one)) continue;
    if (!applyChange(step, one)) continue;
    hasChanged = true;
    if (!one.engine) removed.push(one.vmId);
  }
  if (change.isWhole) removed.push(...removeOthers(step, change, holds));
  if (change.revision !== undefined) {
    state.isFleetKnown = true;
    state.fleetRevision = Math.max(state.fleetRevision, change.revision);
  }
  if (!hasChanged && removed.length === 0) return;
  state.fleetChangedAtMs = nowMs;
  state.engineCount = state.engines.size;
  rebuildTargets(state);
  if (!change.isWhole && removed.length === 0) return;
  logDecision(step, 'info', 'fleet', 'engines changed', {
    whole: change.isWhole,
    changed: change.changes.length,
    removed,
    engines: state.engines.size,
    before,
    revision: change.revision,
  });
}

/** False for a change that is older than what is known. */
function applyChange(step: ServingStep, change: EngineChange): boolean {
  const {state, nowMs} = step;
  const {vmId, revision, engine} = change;
  if (revision <= (state.engineRevisions.get(vmId) ?? -1)) return false;
  state.engineRevisions.set(vmId, revision);
  state.recentChanges = state.recentChanges.filter(
    ({atMs}) => nowMs - atMs < KEPT_MS,
  );
  state.recentChanges.push({change, atMs: nowMs});
  if (!engine) {
    removeEngine(step, vmId);
    return true;
  }
  state.departed.delete(vmId);
  state.heldRemovals.delete(vmId);
  const known = state.engines.get(vmId);
  if (known) state.revisionSum -= storeVersion.checksumOf(known.revision);
  state.revisionSum += storeVersion.checksumOf(engine.revision);
  state.engines.set(vmId, engine);
  const lost = state.lostEngines.get(vmId);
  if (lost && lost.bornAtMs !== engine.bornAtMs) {
    state.lostEngines.delete(vmId);
  }
  return true;
}

/** Removes engines that a whole list, read after their last change, doesn't name. */
function removeOthers(
  step: ServingStep,
  change: FleetChange,
  holds: boolean,
): VmId[] {
  const {state} = step;
  const named = new Set<VmId>(change.changes.map(({vmId}) => vmId));
  const removed: VmId[] = [];
  for (const vmId of state.engines.keys()) {
    const knownAt = state.engineRevisions.get(vmId) ?? 0;
    const revision = change.revision ?? 0;
    if (named.has(vmId) || knownAt > revision) continue;
    if (holds) {
      state.heldRemovals.set(vmId, revision);
      continue;
    }
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
    state.departed.set(vmId, {
      address,
      bornAtMs,
      sequence,
      revision,
      atMs: nowMs,
    });
  }
  state.engines.delete(vmId);
  state.heldRemovals.delete(vmId);
  state.lostEngines.delete(vmId);
}
