import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import {expectedPassMs} from '../expected_pass_ms.js';
import {logDecision} from '../log_decision.js';

/** A first event is on time within this multiple of its expected time. */
const ON_TIME_FACTOR = 1.5;
/** Rounds in a row on time after which a target has recovered, when there are too few requests to widen the window. */
const RECOVERED_ROUNDS = 8;
const MIN_WINDOW = 1;

/** Learns from a first event or a failure of an attempt how many requests a recovering target takes. */
export function recordPaceEvent(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
  kind: 'first-event' | 'failure',
): void {
  const {state, nowMs} = step;
  const {vmId, bornAtMs, sentAtMs} = attempt;
  const pace = state.pace.records.get(vmId);
  if (!pace || pace.hasRecovered || pace.bornAtMs !== bornAtMs) return;
  pace.evidenceAtMs = nowMs;
  const firstMs = nowMs - sentAtMs;
  const limitMs = ON_TIME_FACTOR * resolveExpectedMs(step, record, attempt);
  if (kind === 'failure' || firstMs > limitMs) {
    if (sentAtMs < pace.reducedAtMs) return;
    pace.window = Math.max(MIN_WINDOW, Math.floor(pace.window / 2));
    pace.reducedAtMs = nowMs;
    pace.roundStartedAtMs = nowMs;
    pace.onTimeRounds = 0;
    logDecision(step, 'info', 'routing', 'target gets fewer requests', {
      vmId,
      window: pace.window,
      cause: kind === 'failure' ? 'failure' : 'late first event',
      firstMs: Math.round(firstMs),
      limitMs: Math.round(limitMs),
    });
    return;
  }
  pace.window += 1;
  if (sentAtMs >= pace.roundStartedAtMs) {
    pace.onTimeRounds += 1;
    pace.roundStartedAtMs = nowMs;
  }
  const slotCount = state.targets.get(vmId)?.slotCount ?? Infinity;
  const isWide = pace.window >= slotCount;
  if (!isWide && pace.onTimeRounds < RECOVERED_ROUNDS) return;
  pace.hasRecovered = true;
  logDecision(step, 'info', 'routing', 'target has recovered', {
    vmId,
    window: pace.window,
    onTimeRounds: pace.onTimeRounds,
  });
}

/** Expected time to the first event: the estimate, and the pass that was running when the request arrived. Without a cost model, the goal of the route. */
function resolveExpectedMs(
  {state}: ServingStep,
  {route}: RequestRecord,
  {vmId, expectedFirstMs}: AttemptRecord,
): number {
  const target = state.targets.get(vmId);
  if (!target?.costs) return route.goalMs;
  const inFlight = state.targetLoads.get(vmId)?.inFlight ?? 1;
  return expectedFirstMs + expectedPassMs(target, inFlight);
}
