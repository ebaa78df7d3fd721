import type {ServingEvent} from '../serving/events.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from '../serving/log_decision.js';
import {isLostEngine} from '../serving/is_lost_engine.js';
import {isSilenceNoEvidence} from '../serving/is_silence_no_evidence.js';
import {isSilenceCorroborated} from './is_silence_corroborated.js';
import {reportLoss} from '../serving/reachability/index.js';

/** Pace factor from which replacing the engine by a spare speeds its replica up. */
const SLOW_PACE = 1.8;
/** Consecutive unanswered probes after which an engine counts as lost; a single one may be lost in transit. */
const MAX_TIMEOUTS = 2;
/** Maximum age of another member's response that shows that the network path works and only one engine is unresponsive. */
const RECENT_MS = 600;

type ProbeAnswered = Extract<ServingEvent, {type: 'probeAnswered'}>;

/** Applies the result of a probe: updates the engine's pace, or marks it as lost. */
export function handleProbeResult(
  step: ServingStep,
  event: ProbeAnswered,
): void {
  const {state, nowMs} = step;
  if (isSilenceNoEvidence(event)) return;
  const {steward} = state;
  const probe = steward.probes.get(event.vmId);
  if (event.outcome === 'answered') {
    recordPace(step, event);
    steward.probeRequests.delete(event.vmId);
    if (probe) {
      probe.unansweredCount = 0;
      probe.answeredAtMs = nowMs;
    }
    return;
  }
  if (probe) probe.unansweredCount += 1;
  if (event.outcome === 'refused') {
    report(step, event.vmId, 'connection refused', true);
    return;
  }
  if (!probe) return;
  const limit = hasLiveNeighbour(step, event.vmId) ? 1 : MAX_TIMEOUTS;
  if (probe.unansweredCount < limit) return;
  const engine = state.engines.get(event.vmId);
  if (engine && isSilenceCorroborated(step, engine)) {
    report(step, event.vmId, 'probes timed out', false);
  }
}

function report(
  step: ServingStep,
  vmId: VmId,
  proof: string,
  isRefused: boolean,
): void {
  const engine = step.state.engines.get(vmId);
  if (!engine || isLostEngine(step.state, engine)) return;
  const {service, bornAtMs} = engine;
  reportLoss(step, vmId, service, {bornAtMs, proof, isRefused});
}

function recordPace(step: ServingStep, {vmId, pace}: ProbeAnswered): void {
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

/** Whether a member of the same replica responded recently, so that the network path there works. */
function hasLiveNeighbour(step: ServingStep, vmId: VmId): boolean {
  const {state, nowMs} = step;
  for (const {members} of state.steward.tracks.values()) {
    if (!members.includes(vmId)) continue;
    return members.some(one => {
      if (one === vmId) return false;
      const probe = state.steward.probes.get(one);
      return probe !== undefined && nowMs - probe.answeredAtMs < RECENT_MS;
    });
  }
  return false;
}
