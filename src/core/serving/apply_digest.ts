import type {LoadDigest, PeerView, ServingState, ServingStep} from './types.js';
import {LOST_ENGINE_TTL_MS} from './lost_engine_ttl_ms.js';
import {acceptsDigest} from './relays/accepts_digest.js';
import {addPeerLoads} from './add_peer_loads.js';
import {applyColdReports} from './coldness/index.js';
import {applyCrashEvidence} from './crashes/index.js';
import {applyEvacuationReport} from './evacuation/index.js';
import {applyPaceReports} from './pace/index.js';
import {applyFleet} from './apply_fleet.js';
import {recordPeerWork, subtractOwnWork} from './fair_queue/index.js';
import {logDecision} from './log_decision.js';
import {applyLimitReports, recordPeerSends} from './rate_limits/index.js';
import {applyPredecessors} from './retries/index.js';
import {recordFleetSize} from './fleet_size/index.js';
import {applyLeavingReports} from './announcements/index.js';
import {recordDigestSender} from './relays/record_digest_sender.js';
import {recordStoreContact} from './record_store_contact.js';
import {peerKey} from './peer_key.js';
import {resolvePeerLoad} from './resolve_peer_load.js';
import {resolveProofAtMs} from './resolve_proof_at_ms.js';
import {isRestoring, applyStoreEra} from './restore/index.js';
import {markTargetsStale} from './mark_targets_stale.js';
import {subtractOwnLoads} from './relays/subtract_own_loads.js';

/** How long a suspect or slow target in a peer's digest is treated as such. */
const PEER_SUSPECT_MS = 400;
/** Minimum time between two probes of an engine for a peer. */
const PROBE_INTERVAL_MS = 800;
/** The same while there is no result, since it was dropped with the node's path: a little longer than a probe's time-out. */
const RETRY_INTERVAL_MS = 300;

/** Merges a peer's digest into the state: target loads, engine changes, lost engines, crash suspects and proofs. */
export function applyDigest(step: ServingStep, received: LoadDigest): void {
  const {state, nowMs} = step;
  if (received.from === state.nodeId) return;
  const link = recordDigestSender(step, received);
  if (received.evacuation) {
    // Its version may be of an era that this node has not learned of.
    if (received.storeEra > 0)
      applyStoreEra(step, received.storeEra, received.from);
    applyEvacuationReport(step, received, link);
  }
  if (!acceptsDigest(state, received)) return;
  const digest = subtractOwnLoads(state, received, nowMs);
  if (digest.storeEra > 0) applyStoreEra(step, digest.storeEra, digest.from);
  const isOutdated = digest.storeEra < (state.restore.era ?? 0);
  const key = peerKey(digest);
  const peer = state.peers.get(key);
  if (peer) addPeerLoads(state, peer.digest.loads, -1);
  else {
    state.lastNewPeerAtMs = nowMs;
    logDecision(step, 'info', 'peers', 'first digest from peer', {
      peer: key,
      from: digest.from,
      address: digest.callerAddress,
    });
  }
  addPeerLoads(state, digest.loads, 1);
  applyTargetProgress(state, digest, nowMs);
  recordPeerSends(state, key, digest.loads, nowMs);
  recordPeerWork(state, key, subtractOwnWork(state, digest, nowMs), nowMs);
  const hasRoster = digest.roster.length > 0;
  const view: PeerView = {
    digest,
    atMs: nowMs,
    link,
    roster: hasRoster ? digest.roster : (peer?.roster ?? []),
    rosterAtMs: hasRoster ? nowMs : (peer?.rosterAtMs ?? -Infinity),
  };
  state.peers.set(key, view);
  if (!peer) recordFleetSize(step);
  if (!isOutdated && !isRestoring(state, nowMs)) adoptConfigProof(state, view);
  applyCrashEvidence(step, digest);
  applyLimitReports(step, digest.from, digest.limits);
  applyColdReports(step, digest.coldEngines);
  applyPaceReports(step, digest.paces);
  applyPredecessors(step, digest.predecessors);
  applyLost(step, digest);
  applyDeparted(step, digest);
  applyLeavingReports(step, digest.from, digest.leavingEngines);
  probeRequestedEngines(step, digest);
  if (digest.changes.length > 0) {
    applyFleet(step, {changes: digest.changes, isFullList: false});
  }
  if (isOutdated) return;
  if (digest.isSteward || digest.scope === 'fleet') {
    recordStoreContact(step, resolveProofAtMs(view, digest.fleetProofAgeMs));
    compareFleetWithSteward(step, digest);
  }
}

/** A peer's proof for the same configuration version holds for this node too. */
function adoptConfigProof(state: ServingState, view: PeerView): void {
  const {configVersion, configProofAgeMs} = view.digest;
  if (configVersion !== state.config?.version) return;
  state.configProvenAtMs = Math.max(
    state.configProvenAtMs,
    resolveProofAtMs(view, configProofAgeMs),
  );
}

/** Tracks since when this node's engines differ from the steward's; lost digests cause such a difference. */
function compareFleetWithSteward(
  {state, nowMs}: ServingStep,
  {engineCount, revisionSum}: LoadDigest,
): void {
  const isEqual =
    engineCount === state.engineCount && revisionSum === state.revisionSum;
  if (isEqual) state.fleetMismatchSinceMs = undefined;
  else state.fleetMismatchSinceMs ??= nowMs;
}

function applyTargetProgress(
  state: ServingState,
  digest: LoadDigest,
  nowMs: number,
): void {
  for (const {vmId, progressAgeMs, isSuspect, isSlow} of digest.loads) {
    const load = resolvePeerLoad(state, vmId);
    if (progressAgeMs >= 0) {
      load.progressAtMs = Math.max(load.progressAtMs, nowMs - progressAgeMs);
    }
    if (isSlow) load.slowUntilMs = nowMs + PEER_SUSPECT_MS;
    if (isSuspect) load.suspectUntilMs = nowMs + PEER_SUSPECT_MS;
  }
}

function applyDeparted({state, nowMs}: ServingStep, digest: LoadDigest): void {
  for (const {vmId, address, bornAtMs, ageMs} of digest.departed) {
    if (state.engines.has(vmId) || state.departedEngines.has(vmId)) continue;
    // Digests don't carry the engine's last entry, so any entry read later counts as newer.
    const sequence = -1;
    const revision = 0;
    state.departedEngines.set(vmId, {
      address,
      bornAtMs,
      sequence,
      revision,
      atMs: nowMs - ageMs,
    });
  }
}

/** Probes engines that a peer can't reach, if it requests this of this node. */
function probeRequestedEngines(step: ServingStep, digest: LoadDigest): void {
  const {state, nowMs} = step;
  for (const {vmId, address, peers} of digest.probeRequests) {
    if (!peers.includes(state.nodeId)) continue;
    const probedAtMs = state.lastProbeAtMs.get(vmId) ?? -Infinity;
    const intervalMs = state.probeResults.has(vmId)
      ? PROBE_INTERVAL_MS
      : RETRY_INTERVAL_MS;
    if (nowMs - probedAtMs < intervalMs) continue;
    state.lastProbeAtMs.set(vmId, nowMs);
    step.effects.push({type: 'probeEngine', vmId, address});
  }
}

function applyLost(step: ServingStep, digest: LoadDigest): void {
  const {state, nowMs} = step;
  let hasNewLoss = false;
  for (const {vmId, bornAtMs, ageMs} of digest.lostEngines) {
    if (state.engines.get(vmId)?.bornAtMs !== bornAtMs) continue;
    if (ageMs >= LOST_ENGINE_TTL_MS) continue;
    const previous = state.lostEngines.get(vmId);
    // Peers forward each other's reports: only the first one sets the time, or the entry would never expire.
    if (previous?.bornAtMs === bornAtMs) continue;
    const progressAtMs = state.targetLoads.get(vmId)?.progressAtMs ?? -Infinity;
    if (progressAtMs > nowMs - ageMs) {
      logDecision(step, 'debug', 'fleet', 'lost engine still answers', {
        vmId,
        peer: digest.from,
        ageMs,
        progressAgeMs: Math.round(nowMs - progressAtMs),
      });
      continue;
    }
    hasNewLoss = true;
    logDecision(step, 'info', 'fleet', 'peer reports engine lost', {
      vmId,
      peer: digest.from,
      ageMs,
    });
    state.lostEngines.set(vmId, {bornAtMs, atMs: nowMs - ageMs});
  }
  if (hasNewLoss) markTargetsStale(state);
}
