import type {LoadDigest, PeerView, ServingState, ServingStep} from './types.js';
import {LOST_FOR_MS} from './lost_for_ms.js';
import {acceptsDigest} from './relays/accepts_digest.js';
import {addPeerLoads} from './add_peer_loads.js';
import {applyFleet} from './apply_fleet.js';
import {logDecision} from './log_decision.js';
import {noteToldLeaving} from './announcements/index.js';
import {noteHeard} from './relays/note_heard.js';
import {noteStoreContact} from './note_store_contact.js';
import {peerKey} from './peer_key.js';
import {peerLoad} from './peer_load.js';
import {provenAtMs} from './proven_at_ms.js';
import {isRestoring, noteStoreEra} from './restore/index.js';
import {rebuildTargets} from './rebuild_targets.js';
import {withoutOwn} from './relays/without_own.js';

const PEER_SUSPECT_MS = 400;
const LOOK_AGAIN_MS = 800;

/** Takes over what a peer tells of its load and its findings. */
export function applyDigest(step: ServingStep, told: LoadDigest): void {
  const {state, nowMs} = step;
  if (told.from === state.nodeId) return;
  const link = noteHeard(step, told);
  if (!acceptsDigest(state, told)) return;
  const digest = withoutOwn(state, told);
  if (digest.storeEra > 0) noteStoreEra(step, digest.storeEra, digest.from);
  const isOutdated = digest.storeEra < (state.restore.era ?? 0);
  const key = peerKey(digest);
  const peer = state.peers.get(key);
  if (peer) addPeerLoads(state, peer.digest.loads, -1);
  else {
    state.newPeerAtMs = nowMs;
    logDecision(step, 'info', 'peers', 'peer heard', {
      peer: key,
      from: digest.from,
      address: digest.callerAddress,
    });
  }
  addPeerLoads(state, digest.loads, 1);
  noteProgress(state, digest, nowMs);
  const hasRoster = digest.roster.length > 0;
  const view: PeerView = {
    digest,
    atMs: nowMs,
    link,
    roster: hasRoster ? digest.roster : (peer?.roster ?? []),
    rosterAtMs: hasRoster ? nowMs : (peer?.rosterAtMs ?? -Infinity),
  };
  state.peers.set(key, view);
  if (!isOutdated && !isRestoring(state, nowMs)) takeProof(state, view);
  for (const {fingerprint, losses, leftMs} of digest.suspects) {
    const known = state.crashSuspects.get(fingerprint);
    if (known && known.losses >= losses) continue;
    state.crashSuspects.set(fingerprint, {
      losses,
      untilMs: nowMs + leftMs,
      lostAt: known?.lostAt ?? new Set(),
    });
  }
  applyLost(step, digest);
  applyDeparted(step, digest);
  noteToldLeaving(step, digest.from, digest.leavingEngines);
  lookForAsked(step, digest);
  if (digest.changes.length > 0) {
    applyFleet(step, {changes: digest.changes, isWhole: false});
  }
  if (isOutdated) return;
  if (digest.isSteward || digest.scope === 'fleet') {
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

function applyDeparted({state, nowMs}: ServingStep, digest: LoadDigest): void {
  for (const {vmId, address, bornAtMs, ageMs} of digest.departed) {
    if (state.engines.has(vmId) || state.departed.has(vmId)) continue;
    // What it wrote last isn't told: any entry counts as later.
    const sequence = -1;
    const revision = 0;
    state.departed.set(vmId, {
      address,
      bornAtMs,
      sequence,
      revision,
      atMs: nowMs - ageMs,
    });
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
  for (const {vmId, bornAtMs, ageMs} of digest.lostEngines) {
    if (state.engines.get(vmId)?.bornAtMs !== bornAtMs) continue;
    if (ageMs >= LOST_FOR_MS) continue;
    const known = state.lostEngines.get(vmId);
    // Peers repeat what they heard: only the first finding counts, or it never ends.
    if (known?.bornAtMs === bornAtMs) continue;
    hasNew = true;
    logDecision(step, 'info', 'fleet', 'engine lost, by a peer', {
      vmId,
      peer: digest.from,
      ageMs,
    });
    state.lostEngines.set(vmId, {bornAtMs, atMs: nowMs - ageMs});
  }
  if (hasNew) rebuildTargets(state);
}
