import type {DigestLoad, LoadDigest, ServingState} from './types.js';
import type {VmId} from '../ids/index.js';
import {listColdReports} from './coldness/index.js';
import {listCrashEvidence} from './crashes/index.js';
import {createEvacuationReport} from './evacuation/index.js';
import {listWorkRows} from './fair_queue/index.js';
import {isSlow} from './is_slow.js';
import {toAgeMs} from './to_age_ms.js';
import {listLeavingReports} from './announcements/index.js';
import {listPaceReports} from './pace/index.js';
import {isReady} from './is_ready.js';
import {
  countRecent,
  findLimitPerS,
  listLimitReports,
} from './rate_limits/index.js';
import {
  isEvidenceSound,
  listUnreachableServices,
} from './reachability/index.js';
import {listPredecessors, listRetryCounts} from './retries/index.js';
import {listRecentChanges} from './list_recent_changes.js';

/** A target without requests is still included for this long after its last event, so that peers see its progress. */
const PROGRESS_REPORT_MS = 1000;
const MAX_DEPARTED = 20;
/** How long digests include departed engines after a node has started. */
const NEW_PEER_PERIOD_MS = 2000;
/** Limit on lost engines, and on probe results, in one datagram; the newest are kept. */
const MAX_ENGINE_REPORTS = 60;
/** Digits of a count of recent sends; an error of a hundredth is far below one request. */
const SEND_DIGITS = 3;

function hasNewPeer(state: ServingState, nowMs: number): boolean {
  return nowMs - state.lastNewPeerAtMs < NEW_PEER_PERIOD_MS;
}

function isSteward(state: ServingState): boolean {
  return state.steward.term !== undefined;
}

/** Returns the recent sends to a limited engine, rounded; undefined if it names no limit. */
function reportRecentSends(
  state: ServingState,
  vmId: VmId,
  nowMs: number,
): number | undefined {
  if (findLimitPerS(state, vmId) === undefined) return undefined;
  const count = countRecent(state.rateLimits.ownSends.get(vmId), nowMs);
  return Number(count.toPrecision(SEND_DIGITS));
}

/** Creates the digest of this node's own state and loads, which is sent to peers. */
export function createDigest(state: ServingState, nowMs: number): LoadDigest {
  const loads: DigestLoad[] = [];
  for (const [vmId, load] of state.targetLoads) {
    const ageMs = nowMs - load.progressAtMs;
    const isSuspect =
      load.suspectUntilMs > nowMs && isEvidenceSound(state, vmId);
    const recentSends = reportRecentSends(state, vmId, nowMs);
    const isQuiet = load.inFlight === 0 && ageMs > PROGRESS_REPORT_MS;
    if (isQuiet && !isSuspect && !recentSends) continue;
    loads.push({
      vmId,
      inFlight: load.inFlight,
      unreadTokens: load.unreadTokens,
      progressAgeMs: toAgeMs(load.progressAtMs, nowMs),
      isSuspect,
      isSlow: isSlow(load) && ageMs < PROGRESS_REPORT_MS,
      ...(recentSends === undefined ? {} : {recentSends}),
    });
  }
  const lostEngines = [...state.lostEngines]
    .slice(-MAX_ENGINE_REPORTS)
    .map(([vmId, {bornAtMs, atMs}]) => ({
      vmId,
      bornAtMs,
      ageMs: Math.max(0, Math.round(nowMs - atMs)),
    }));
  const departed = hasNewPeer(state, nowMs)
    ? [...state.departedEngines].slice(-MAX_DEPARTED).map(([vmId, one]) => ({
        vmId,
        address: one.address,
        bornAtMs: one.bornAtMs,
        ageMs: Math.round(nowMs - one.atMs),
      }))
    : [];
  const probeReports = [...state.probeResults]
    .filter(([vmId]) => isEvidenceSound(state, vmId))
    .slice(-MAX_ENGINE_REPORTS)
    .map(([vmId, {isSilent, hasResponded, atMs}]) => ({
      vmId,
      nodeId: state.nodeId,
      isSilent,
      ...(hasResponded && {ageMs: Math.round(nowMs - atMs)}),
    }));
  const {readAtMs} = state.evacuation;
  const evacuation = createEvacuationReport(state, readAtMs, nowMs);
  const work = listWorkRows(state, nowMs);
  return {
    scope: 'node',
    nodeCount: 1,
    roster: [],
    departed,
    probeRequests: [...state.steward.probeRequests.values()],
    probeReports,
    from: state.nodeId,
    peerAddress: state.peerAddress,
    coreCount: state.coreCount,
    stewardAddress: isSteward(state) ? state.peerAddress : undefined,
    incarnation: state.incarnation,
    storeEra: state.restore.era ?? 0,
    sentAtMs: nowMs,
    zone: state.zone,
    callerAddress: state.callerAddress,
    isReady: isReady(state, nowMs),
    isLeaving: state.leavingSinceMs !== undefined,
    unreachableServices: listUnreachableServices(state),
    isSteward: isSteward(state),
    changes: isSteward(state) ? listRecentChanges(state, nowMs) : [],
    configVersion: state.config?.version ?? 0,
    configProofAgeMs: toAgeMs(state.configReadAtMs, nowMs),
    engineCount: state.engineCount,
    revisionSum: state.revisionSum,
    fleetProofAgeMs: toAgeMs(state.fleetReadAtMs, nowMs),
    loads,
    retries: listRetryCounts(state, nowMs),
    limits: listLimitReports(state, nowMs),
    paces: listPaceReports(state, nowMs),
    coldEngines: listColdReports(state, {isSummary: false}, nowMs),
    ...(work && {work}),
    predecessors: listPredecessors(state, nowMs),
    ...listCrashEvidence(state, hasNewPeer(state, nowMs), nowMs),
    lostEngines,
    leavingEngines: listLeavingReports(state, nowMs),
    ...(evacuation && {evacuation}),
  };
}
