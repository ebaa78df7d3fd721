import type {EngineChange} from '../fleet/types.js';
import type {DigestLoad, LoadDigest, ServingState} from './types.js';
import {isSlow} from './is_slow.js';
import {isReady} from './is_ready.js';

/** A target without requests is named for this long after its last event, so that peers see its progress. */
const PROGRESS_NAMED_MS = 1000;
const MAX_SUSPECTS = 20;
const MAX_DEPARTED = 20;
/** How long nodes that have just started are told of engines that left before. */
const NEW_PEER_MS = 2000;
/** Changes in one datagram, which has at most 64 KB. */
const MAX_CHANGES = 40;
/** Each change is told in several digests, since datagrams may be lost. */
const PASS_ON_MS = 450;

function isNewPeerThere(state: ServingState, nowMs: number): boolean {
  return nowMs - state.newPeerAtMs < NEW_PEER_MS;
}

function isSteward(state: ServingState): boolean {
  return state.steward.term !== undefined;
}

function changesToPassOn(state: ServingState, nowMs: number): EngineChange[] {
  return state.recentChanges
    .filter(({atMs}) => nowMs - atMs < PASS_ON_MS)
    .slice(-MAX_CHANGES)
    .map(({change}) => change);
}

/** Age of what was at `atMs`; -1 when it never was. */
function ageOf(atMs: number, nowMs: number): number {
  return Number.isFinite(atMs) ? Math.max(0, Math.round(nowMs - atMs)) : -1;
}

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
      progressAgeMs: ageOf(load.progressAtMs, nowMs),
      isSuspect,
      isSlow: isSlow(load) && ageMs < PROGRESS_NAMED_MS,
    });
  }
  const suspects = [...state.crashSuspects]
    .slice(-MAX_SUSPECTS)
    .map(([fingerprint, {losses}]) => ({fingerprint, losses}));
  const lostEngines = [...state.lostEngines].map(([vmId, {bornAtMs}]) => ({
    vmId,
    bornAtMs,
  }));
  const departed = isNewPeerThere(state, nowMs)
    ? [...state.departed].slice(-MAX_DEPARTED).map(([vmId, one]) => ({
        vmId,
        address: one.address,
        bornAtMs: one.bornAtMs,
        ageMs: Math.round(nowMs - one.atMs),
      }))
    : [];
  const opinions = [...state.opinions].map(([vmId, {isSilent}]) => ({
    vmId,
    isSilent,
  }));
  return {
    departed,
    asks: isSteward(state) ? [...state.steward.asks.values()] : [],
    opinions,
    from: state.nodeId,
    life: state.life,
    sentAtMs: nowMs,
    zone: state.zone,
    callerAddress: state.callerAddress,
    isReady: isReady(state, nowMs),
    isLeaving: state.leavingSinceMs !== undefined,
    isSteward: isSteward(state),
    changes: isSteward(state) ? changesToPassOn(state, nowMs) : [],
    configVersion: state.config?.version ?? 0,
    configProofAgeMs: ageOf(state.configReadAtMs, nowMs),
    engineCount: state.engineCount,
    revisionSum: state.revisionSum,
    fleetProofAgeMs: ageOf(state.fleetReadAtMs, nowMs),
    loads,
    suspects,
    lostEngines,
  };
}
