import type {ServingEvent} from '../serving/events.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from '../serving/log_decision.js';
import {markLost} from './mark_lost.js';

/** Factor on an engine's times from which its replica is better off with a spare. */
const SLOW_PACE = 1.8;
/** Probes without answer after which an engine counts as lost; one may be lost on the way. */
const SILENT_LIMIT = 2;
/** An answer of a neighbour that is younger than this tells that only one engine is silent. */
const NEIGHBOUR_MS = 600;
/** A steward that heard of no engine for this long is itself cut off, and judges none. */
const CUT_OFF_MS = 1500;

type ProbeAnswered = Extract<ServingEvent, {type: 'probeAnswered'}>;

/** Judges an engine by its answer to a probe. */
export function noteProbe(step: ServingStep, event: ProbeAnswered): void {
  const {state, nowMs} = step;
  const {steward} = state;
  const probe = steward.probes.get(event.vmId);
  if (event.outcome === 'answered') {
    steward.engineAnsweredAtMs = nowMs;
    notePace(step, event);
    if (probe) {
      probe.silentInRow = 0;
      probe.answeredAtMs = nowMs;
    }
    return;
  }
  if (event.outcome === 'refused') {
    markLost(step, event.vmId, 'connection refused');
    return;
  }
  if (!probe) return;
  probe.silentInRow += 1;
  let heardAtMs = steward.engineAnsweredAtMs;
  for (const {progressAtMs} of state.loads.values()) {
    heardAtMs = Math.max(heardAtMs, progressAtMs);
  }
  if (nowMs - heardAtMs > CUT_OFF_MS) return;
  const limit = hasSoundNeighbour(step, event.vmId) ? 1 : SILENT_LIMIT;
  if (probe.silentInRow >= limit) {
    markLost(step, event.vmId, 'no answer to probes');
  }
}

function notePace(step: ServingStep, {vmId, pace}: ProbeAnswered): void {
  const {slowEngines} = step.state.steward;
  if (pace === undefined || pace < SLOW_PACE) {
    slowEngines.delete(vmId);
    return;
  }
  if (!slowEngines.has(vmId)) {
    logDecision(step, 'info', 'fleet', 'engine is slow', {vmId, pace});
  }
  slowEngines.set(vmId, {pace, atMs: step.nowMs});
}

/** Whether another member of the same replica answered a moment ago: the way there is sound. */
function hasSoundNeighbour(step: ServingStep, vmId: VmId): boolean {
  const {state, nowMs} = step;
  for (const {members} of state.steward.tracks.values()) {
    if (!members.includes(vmId)) continue;
    return members.some(one => {
      const probe = state.steward.probes.get(one);
      return probe !== undefined && nowMs - probe.answeredAtMs < NEIGHBOUR_MS;
    });
  }
  return false;
}
