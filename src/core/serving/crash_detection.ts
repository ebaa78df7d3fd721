import type {Fingerprint, VmId} from '../ids/index.js';
import type {
  AttemptRecord,
  BrokenRun,
  CrashCheck,
  RequestRecord,
  ServingEvent,
  ServingStep,
} from './types.js';
import {logDecision} from './log_decision.js';
import {markEngineLost} from '../steward/mark_engine_lost.js';

/** How long a request remains suspected of crashing its targets. */
const CRASH_SUSPECT_TTL_MS = 60_000;
/** A target's process end is attributed to a broken connection within this time. */
const CRASH_CHECK_TTL_MS = 5000;

/**
 * Detects requests that crash the targets that run them.
 *
 * A broken connection alone is no evidence: heads are taken out of service, and
 * responses are truncated. So the target is probed, and the requests that it was running
 * become suspects only if its process has ended. A request that crashes every target
 * is sent again with the same content, while the other requests on a crashed
 * target are rarely on a second one.
 */
export const crashDetection = {
  /** Handles a connection that broke while the target was running the request: starts a check of the target. */
  broken(
    step: ServingStep,
    record: RequestRecord,
    {vmId, hasStarted, sentAtMs}: AttemptRecord,
  ): void {
    const {state, nowMs} = step;
    const engine = state.engines.get(vmId);
    if (!engine) return;
    const {crashChecks} = state;
    const previous = crashChecks.get(vmId);
    const check: CrashCheck =
      previous && previous.bornAtMs === engine.bornAtMs
        ? previous
        : {
            bornAtMs: engine.bornAtMs,
            atMs: nowMs,
            runs: new Map(),
          };
    crashChecks.set(vmId, check);
    const {requestId, callerId, fingerprint, sharedPartIds} = record.request;
    check.runs.set(fingerprint, {
      requestId,
      callerId,
      sharedPartIds,
      hasStarted,
      ranMs: Math.round(nowMs - sentAtMs),
    });
    const {address} = engine;
    if (check !== previous) {
      step.effects.push({type: 'probeEngine', vmId, address});
    }
  },

  /** Handles the result of a probe: a target that refuses connections has ended its process. */
  probed(
    step: ServingStep,
    {vmId, outcome}: Extract<ServingEvent, {type: 'probeAnswered'}>,
  ): void {
    const {state, nowMs} = step;
    const check = state.crashChecks.get(vmId);
    if (!check) return;
    if (outcome !== 'refused') {
      logDecision(step, 'info', 'requests', 'crash not confirmed', {
        target: vmId,
        outcome,
        requests: check.runs.size,
        sinceBrokenMs: Math.round(nowMs - check.atMs),
      });
      return;
    }
    state.crashChecks.delete(vmId);
    markEngineLost(step, vmId, 'connection refused after a connection broke');
    for (const [fingerprint, run] of check.runs) {
      recordLoss(step, fingerprint, vmId, run);
    }
  },

  /** Drops checks of targets whose end was not confirmed in time. */
  expire(step: ServingStep): void {
    const {crashChecks} = step.state;
    for (const [vmId, {atMs}] of crashChecks) {
      if (step.nowMs - atMs > CRASH_CHECK_TTL_MS) crashChecks.delete(vmId);
    }
  },
};

function recordLoss(
  step: ServingStep,
  fingerprint: Fingerprint,
  vmId: VmId,
  run: BrokenRun,
): void {
  const {state, nowMs} = step;
  let suspect = state.crashSuspects.get(fingerprint);
  if (!suspect) {
    suspect = {losses: 0, untilMs: 0, lostTargets: new Set()};
    state.crashSuspects.set(fingerprint, suspect);
  }
  if (suspect.lostTargets.has(vmId)) return;
  suspect.lostTargets.add(vmId);
  suspect.losses += 1;
  suspect.untilMs = nowMs + CRASH_SUSPECT_TTL_MS;
  logDecision(step, 'warn', 'requests', 'target lost while running', {
    fingerprint,
    target: vmId,
    losses: suspect.losses,
    ...run,
  });
}
