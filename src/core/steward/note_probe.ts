import type {ServingEvent} from '../serving/events.js';
import type {ServingStep} from '../serving/types.js';
import {markLost} from './mark_lost.js';

/** Probes without answer after which an engine counts as lost; one may be lost on the way. */
const SILENT_LIMIT = 2;
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
    if (probe) probe.silentInRow = 0;
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
  if (probe.silentInRow >= SILENT_LIMIT) {
    markLost(step, event.vmId, 'no answer to probes');
  }
}
