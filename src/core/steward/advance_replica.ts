import type {MemberCondition, ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {abandonJoining} from './abandon_joining.js';
import {findReplaceable} from './find_replaceable.js';
import {sendOrder} from './send_order.js';
import {isLeavingConfirmed} from '../serving/announcements/index.js';
import {isOfCurrentTerm} from './is_of_current_term.js';
import {assessMember} from './assess_member.js';
import {dissolveReplica} from './dissolve_replica.js';
import {setPhase} from './set_phase.js';

/** Time limit for a closing head to finish its requests. */
const CLOSE_MS = 3000;
/** Time limit for a head to open; the replica is dissolved after it. */
const OPEN_MS = 8000;

/** Advances a replica by one step: joins it, opens it, or dissolves it when a member is missing. */
export function advanceReplica(step: ServingStep, track: ReplicaTrack): void {
  recordHeadSeen(step, track);
  switch (track.phase) {
    case 'joining':
      advanceJoining(step, track);
      break;
    case 'opening':
      advanceOpening(step, track);
      break;
    case 'open':
      advanceOpen(step, track);
      break;
    case 'closing':
      advanceClosing(step, track);
      break;
    case 'leaving':
      dissolveReplica(step, track);
      break;
  }
}

/** Records the last time at which the head was certainly alive: the store lists an engine for some time after its last sign of life. */
function recordHeadSeen(
  {state, nowMs}: ServingStep,
  track: ReplicaTrack,
): void {
  const head = state.engines.get(track.members[0]!);
  if (!head) return;
  track.headSeenAtMs = nowMs - state.bounds.listingMs;
  track.headAddress = head.address;
  track.isHeadLeaving = isLeavingConfirmed(state, head);
}

function advanceJoining(step: ServingStep, track: ReplicaTrack): void {
  const {state, nowMs} = step;
  const conditions = assessMembers(step, track);
  const missing = track.members.find(
    (vmId, at) => conditions[at] === 'lost' || conditions[at] === 'leaving',
  );
  if (missing !== undefined) {
    abandonJoining(step, track, `${missing} is missing`);
    return;
  }
  if (nowMs >= track.joinDeadlineMs) {
    abandonJoining(step, track, 'not ready in time');
    return;
  }
  let isReady = true;
  for (const [at, vmId] of track.members.entries()) {
    const engine = state.engines.get(vmId)!;
    if (conditions[at] === 'not-joined') {
      isReady = false;
      sendOrder(step, engine, {
        kind: 'join',
        replicaId: track.replicaId,
        epoch: track.epoch,
        model: track.model,
        members: track.members,
      });
    } else if (engine.membership?.stage !== 'ready') {
      isReady = false;
    }
  }
  if (isReady) startOpening(step, track, 'all members are ready');
}

/**
 * Opens a replica that this steward has joined. A replica joined under an
 * earlier term is dissolved, and its engines join a new one: a steward in
 * between may have sent its members orders that are carried out late, and the
 * engines follow the later epoch.
 */
function startOpening(
  step: ServingStep,
  track: ReplicaTrack,
  cause: string,
): void {
  if (!isOfCurrentTerm(step.state.steward, track.epoch)) {
    setPhase(step, track, 'leaving', 'joined under an earlier term');
    dissolveReplica(step, track);
    return;
  }
  setPhase(step, track, 'opening', cause);
  openHead(step, track);
}

function openHead(step: ServingStep, track: ReplicaTrack): void {
  const head = step.state.engines.get(track.members[0]!);
  if (!head) return;
  const {replicaId, epoch} = track;
  sendOrder(step, head, {kind: 'open', replicaId, epoch});
}

function advanceOpening(step: ServingStep, track: ReplicaTrack): void {
  if (retireIfBroken(step, track)) return;
  const stage = headStage(step, track);
  if (stage === 'open') {
    setPhase(step, track, 'open', 'the head serves');
  } else if (step.nowMs - track.phaseSinceMs > OPEN_MS) {
    setPhase(step, track, 'leaving', 'the head did not open in time');
    dissolveReplica(step, track);
  } else {
    openHead(step, track);
  }
}

function advanceOpen(step: ServingStep, track: ReplicaTrack): void {
  if (retireIfBroken(step, track)) return;
  const slow = findReplaceable(step, track);
  if (slow !== undefined) {
    setPhase(
      step,
      track,
      'leaving',
      `${slow} is slow and a warm spare is available`,
    );
    dissolveReplica(step, track);
    return;
  }
  if (headStage(step, track) === 'ready') {
    startOpening(step, track, 'the head was closed');
  }
}

/** Dissolves a replica that cannot continue to serve; when a member leaves in an orderly way, running requests finish first. Returns whether it did either. */
function retireIfBroken(step: ServingStep, track: ReplicaTrack): boolean {
  const conditions = assessMembers(step, track);
  const missing = track.members.find(
    (vmId, at) => conditions[at] === 'lost' || conditions[at] === 'not-joined',
  );
  if (missing !== undefined) {
    setPhase(step, track, 'leaving', `${missing} is missing`);
    dissolveReplica(step, track);
    return true;
  }
  if (headStage(step, track) === 'broken') {
    setPhase(step, track, 'leaving', 'the head is broken');
    dissolveReplica(step, track);
    return true;
  }
  const leaving = track.members.find((_, at) => conditions[at] === 'leaving');
  if (leaving !== undefined) {
    setPhase(step, track, 'closing', `${leaving} is leaving`);
    advanceClosing(step, track);
    return true;
  }
  return false;
}

function advanceClosing(step: ServingStep, track: ReplicaTrack): void {
  const {state, nowMs} = step;
  const conditions = assessMembers(step, track);
  const isMissing = conditions.some(
    condition => condition === 'lost' || condition === 'not-joined',
  );
  const stage = headStage(step, track);
  const isClosed = stage === 'ready' || stage === 'broken';
  track.isClosed = isClosed;
  if (isMissing || isClosed || nowMs - track.phaseSinceMs > CLOSE_MS) {
    setPhase(step, track, 'leaving', track.cause ?? 'closed');
    dissolveReplica(step, track);
    return;
  }
  const head = state.engines.get(track.members[0]!);
  if (!head) return;
  const {replicaId, epoch} = track;
  sendOrder(step, head, {kind: 'close', replicaId, epoch});
}

function assessMembers(
  step: ServingStep,
  track: ReplicaTrack,
): MemberCondition[] {
  return track.members.map((vmId: VmId) =>
    assessMember(step.state, track, vmId),
  );
}

function headStage(step: ServingStep, track: ReplicaTrack) {
  return step.state.engines.get(track.members[0]!)?.membership?.stage;
}
