import type {LoadDigest, PeerView, ServingState, ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {applyFleet} from './apply_fleet.js';
import {followLink} from './follow_link.js';
import {logDecision} from './log_decision.js';
import {noteStoreContact} from './note_store_contact.js';
import {provenAtMs} from './proven_at_ms.js';
import {rebuildTargets} from './rebuild_targets.js';

const SUSPECT_FOR_MS = 60_000;
const PEER_SUSPECT_MS = 400;
const LOOK_AGAIN_MS = 800;

/** Takes over what a peer tells of its load and its findings. */
export function applyDigest(step: ServingStep, digest: LoadDigest): void {
  const {state, nowMs} = step;
  if (digest.from === state.nodeId) return;
  const peer = state.peers.get(digest.from);
  if (peer) addLoads(state, peer.digest, -1);
  else {
    state.newPeerAtMs = nowMs;
    logDecision(step, 'info', 'peers', 'peer heard', {
      peer: digest.from,
      address: digest.callerAddress,
    });
  }
  addLoads(state, digest, 1);
  noteProgress(state, digest, nowMs);
  const link = followLink(peer?.link, digest, nowMs);
  const view = {digest, atMs: nowMs, link};
  state.peers.set(digest.from, view);
  takeProof(state, view);
  for (const {fingerprint, losses} of digest.suspects) {
    const known = state.crashSuspects.get(fingerprint);
    if (known && known.losses >= losses) continue;
    state.crashSuspects.set(fingerprint, {
      losses,
      untilMs: nowMs + SUSPECT_FOR_MS,
      lostAt: known?.lostAt ?? new Set(),
    });
  }
  applyLost(step, digest);
  applyDeparted(step, digest);
  lookForAsked(step, digest);
  if (digest.changes.length > 0) {
    applyFleet(step, {changes: digest.changes, isWhole: false});
  }
  if (digest.isSteward) {
    noteStoreContact(step, provenAtMs(view, digest.fleetProofAgeMs));
    compareEngines(step, digest);
  }
}

/** A peer that has this node's configuration proves it for this node too. */
function takeProof(state: ServingState, view: PeerView): void {
  const {configVersion, configProofAgeMs} = view.digest;
  if (configVersion !== state.config?.version) return;
  state.configProvenAtMs = Math.max(
    state.configProvenAtMs,
    provenAtMs(view, configProofAgeMs),
  );
}

/** Notes since when this node's engines differ from the steward's, as lost digests leave them. */
function compareEngines(
  {state, nowMs}: ServingStep,
  {engineCount, revisionSum}: LoadDigest,
): void {
  const isAlike =
    engineCount === state.engineCount && revisionSum === state.revisionSum;
  if (isAlike) state.fleetUnlikeSinceMs = undefined;
  else state.fleetUnlikeSinceMs ??= nowMs;
}

function addLoads(
  state: ServingState,
  digest: LoadDigest,
  factor: 1 | -1,
): void {
  for (const {vmId, inFlight, unreadTokens} of digest.loads) {
    const load = peerLoad(state, vmId);
    load.inFlight += factor * inFlight;
    load.unreadTokens += factor * unreadTokens;
  }
}

function noteProgress(
  state: ServingState,
  digest: LoadDigest,
  nowMs: number,
): void {
  for (const {vmId, progressAgeMs, isSuspect, isSlow} of digest.loads) {
    const load = peerLoad(state, vmId);
    if (progressAgeMs >= 0) {
      load.progressAtMs = Math.max(load.progressAtMs, nowMs - progressAgeMs);
    }
    if (isSlow) load.slowUntilMs = nowMs + PEER_SUSPECT_MS;
    if (isSuspect) load.suspectUntilMs = nowMs + PEER_SUSPECT_MS;
  }
}

function peerLoad(state: ServingState, vmId: VmId) {
  let load = state.peerLoads.get(vmId);
  if (!load) {
    load = {
      inFlight: 0,
      unreadTokens: 0,
      progressAtMs: -Infinity,
      suspectUntilMs: -Infinity,
      slowUntilMs: -Infinity,
    };
    state.peerLoads.set(vmId, load);
  }
  return load;
}

function applyDeparted({state, nowMs}: ServingStep, digest: LoadDigest): void {
  for (const {vmId, address, bornAtMs, ageMs} of digest.departed) {
    if (state.engines.has(vmId) || state.departed.has(vmId)) continue;
    state.departed.set(vmId, {address, bornAtMs, atMs: nowMs - ageMs});
  }
}

/** Looks for engines that the steward can't reach and the store doesn't list. */
function lookForAsked(step: ServingStep, digest: LoadDigest): void {
  const {state, nowMs} = step;
  for (const {vmId, address, peers} of digest.asks) {
    if (!peers.includes(state.nodeId)) continue;
    const lookedAtMs = state.lookedAtMs.get(vmId) ?? -Infinity;
    if (nowMs - lookedAtMs < LOOK_AGAIN_MS) continue;
    state.lookedAtMs.set(vmId, nowMs);
    step.effects.push({type: 'probeEngine', vmId, address});
  }
}

function applyLost(step: ServingStep, digest: LoadDigest): void {
  const {state, nowMs} = step;
  let hasNew = false;
  for (const {vmId, bornAtMs} of digest.lostEngines) {
    if (state.engines.get(vmId)?.bornAtMs !== bornAtMs) continue;
    if (state.lostEngines.get(vmId)?.bornAtMs !== bornAtMs) {
      hasNew = true;
      logDecision(step, 'info', 'fleet', 'engine lost, by a peer', {
        vmId,
        peer: digest.from,
      });
    }
    state.lostEngines.set(vmId, {bornAtMs, atMs: nowMs});
  }
  if (hasNew) rebuildTargets(state);
}
