import type {
  DigestLoad,
  LoadDigest,
  PeerView,
  RosterNode,
  ServingState,
} from '../types.js';
import {listColdReports} from '../coldness/index.js';
import {toAgeMs} from '../to_age_ms.js';
import {createDigest} from '../create_digest.js';
import {createEvacuationReport} from '../evacuation/index.js';
import {findSteward} from '../find_steward.js';
import {listPeerNodes} from './list_peer_nodes.js';
import {listRecentChanges} from '../list_recent_changes.js';
import {decayCount} from '../rate_limits/index.js';
import {resolveProofAtMs} from '../resolve_proof_at_ms.js';
import {rankRoster} from './rank_roster.js';
import {sumWorkRows} from '../fair_queue/index.js';
import {sumLoads} from './sum_loads.js';

/** Maximum number of probe reports, and of requests for probes, in one datagram. */
const MAX_PROBE_REPORTS = 60;
/** Nodes of a zone in the roster for other zones: as many as callers need there when their own zone is lost. */
const FOREIGN_ROSTER_SIZE = 8;
/** Nodes whose last digest is older are left out of the roster. */
const ROSTER_MAX_AGE_MS = 1500;

interface SummaryOptions {
  readonly scope: 'zone' | 'fleet';
  readonly hasRoster: boolean;
}

/** Creates a relay's digest: of scope `zone`, it summarizes the digests of its zone's nodes; of scope `fleet`, those of other zones as well. */
export function createSummary(
  state: ServingState,
  {scope, hasRoster}: SummaryOptions,
  nowMs: number,
): LoadDigest {
  const own = createDigest(state, nowMs);
  const views = [...state.peers.values()].filter(
    ({digest}) => scope === 'fleet' || digest.scope === 'node',
  );
  const peerReports = views.flatMap(({digest, atMs}) =>
    digest.probeReports.map(report => ({
      ...report,
      ...(report.ageMs === undefined
        ? {}
        : {ageMs: Math.round(report.ageMs + nowMs - atMs)}),
    })),
  );
  const peerRequests = views
    .filter(({digest}) => digest.scope !== 'fleet')
    .flatMap(({digest}) => digest.probeRequests);
  const {provenAtMs} = state.evacuation;
  const evacuation = createEvacuationReport(state, provenAtMs, nowMs);
  const nodeCount = views.reduce((sum, one) => sum + one.digest.nodeCount, 1);
  const work = sumWorkRows(own.work, views, nowMs);
  return {
    ...own,
    ...describeSteward(state, own, views, nowMs),
    scope,
    nodeCount,
    loads: sumLoads([
      own.loads,
      ...views.map(view => withCurrentAges(view, nowMs)),
    ]),
    coldEngines: listColdReports(state, {isSummary: true}, nowMs),
    ...(work && {work}),
    configProofAgeMs: toAgeMs(state.configProvenAtMs, nowMs),
    probeRequests: [...own.probeRequests, ...peerRequests].slice(
      -MAX_PROBE_REPORTS,
    ),
    probeReports: [...own.probeReports, ...peerReports].slice(
      -MAX_PROBE_REPORTS,
    ),
    ...(evacuation && {evacuation}),
    roster: hasRoster ? createRoster(state, own, scope, nowMs) : [],
  };
}

/** Fields that are forwarded from the steward's digest, if it is among the summarized ones; otherwise this node's own changes of engines. */
function describeSteward(
  state: ServingState,
  own: LoadDigest,
  views: readonly PeerView[],
  nowMs: number,
): Partial<LoadDigest> {
  const changes = listRecentChanges(state, nowMs);
  if (own.isSteward) return {changes};
  const view = findSteward(state, nowMs);
  if (!view || !views.includes(view)) {
    return {isSteward: false, changes};
  }
  const {engineCount, revisionSum, fleetProofAgeMs, stewardAddress} =
    view.digest;
  return {
    isSteward: true,
    stewardAddress,
    changes,
    engineCount,
    revisionSum,
    fleetProofAgeMs: toAgeMs(resolveProofAtMs(view, fleetProofAgeMs), nowMs),
  };
}

function withCurrentAges(
  {digest, atMs}: PeerView,
  nowMs: number,
): DigestLoad[] {
  const sinceMs = Math.max(0, Math.round(nowMs - atMs));
  return digest.loads.map(load => ({
    ...load,
    progressAgeMs:
      load.progressAgeMs < 0
        ? load.progressAgeMs
        : load.progressAgeMs + sinceMs,
    ...(load.recentSends === undefined
      ? {}
      : {recentSends: decayCount(load.recentSends, sinceMs)}),
  }));
}

function createRoster(
  state: ServingState,
  own: LoadDigest,
  scope: 'zone' | 'fleet',
  nowMs: number,
): RosterNode[] {
  const {callerAddress, coreCount, isReady, isLeaving} = own;
  const self: RosterNode = {
    nodeId: state.nodeId,
    zone: state.zone,
    callerAddress,
    coreCount,
    isReady,
    isLeaving,
    ageMs: 0,
    unreachableServices: own.unreachableServices,
  };
  const all = [self, ...listPeerNodes(state, nowMs).values()].filter(
    ({ageMs}) => ageMs < ROSTER_MAX_AGE_MS,
  );
  const ofZone = all.filter(({zone}) => zone === state.zone);
  return scope === 'fleet'
    ? all
    : rankRoster(ofZone).slice(0, FOREIGN_ROSTER_SIZE);
}
