import type {DigestLoad, LoadDigest, ServingState} from './types.js';
import {isReady} from './is_ready.js';

/** A target without requests is named for this long after its last event, so that peers see its progress. */
const PROGRESS_NAMED_MS = 1000;
const MAX_SUSPECTS = 20;

/** Sums up what peers need to know of this node. */
export function createDigest(state: ServingState, nowMs: number): LoadDigest {
  const loads: DigestLoad[] = [];
  for (const [vmId, load] of state.loads) {
    const ageMs = nowMs - load.progressAtMs;
    const isSuspect = load.suspectUntilMs > nowMs;
    if (load.inFlight === 0 && !isSuspect && ageMs > PROGRESS_NAMED_MS) {
      continue;
    }
    loads.push({
      vmId,
      inFlight: load.inFlight,
      unreadTokens: load.unreadTokens,
      progressAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
      isSuspect,
    });
  }
  const suspects = [...state.crashSuspects]
    .slice(-MAX_SUSPECTS)
    .map(([fingerprint, {losses}]) => ({fingerprint, losses}));
  const lostEngines = [...state.lostEngines].map(([vmId, {bornAtMs}]) => ({
    vmId,
    bornAtMs,
  }));
  return {
    from: state.nodeId,
    zone: state.zone,
    callerAddress: state.callerAddress,
    isReady: isReady(state, nowMs),
    isLeaving: state.leavingSinceMs !== undefined,
    configVersion: state.config?.version ?? 0,
    fleetRevision: state.fleetRevision,
    loads,
    suspects,
    lostEngines,
  };
}
