import type {
  AttemptRecord,
  RequestRecord,
  ServingState,
  ServingStep,
} from '../types.js';
import type {CrashCheck} from './types.js';
import type {ServiceName, VmId} from '../../ids/index.js';
import type {ServingEvent} from '../events.js';
import {addCrashReport} from './add_crash_report.js';
import {logDecision} from '../log_decision.js';
import {reportLoss} from '../reachability/index.js';

/** A target's process end is attributed to a broken connection within this time. */
const CRASH_CHECK_TTL_MS = 5000;

/**
 * Detects crashes of targets and reports the requests that were running there.
 *
 * A broken connection alone is no evidence: heads are taken out of service, and
 * responses are truncated. So the target is probed, and a crash is reported only
 * if its process has ended.
 */
export const crashDetection = {
  /** Handles a connection that broke while the target was running the request: starts a check of the target. */
  broken(
    step: ServingStep,
    record: RequestRecord,
    {vmId, bornAtMs, startedAtMs, sentAtMs}: AttemptRecord,
  ): void {
    const {state, nowMs} = step;
    const engine = state.engines.get(vmId);
    if (engine?.bornAtMs !== bornAtMs) return;
    const {checks} = state.crashes;
    const previous = checks.get(vmId);
    const check: CrashCheck =
      previous && previous.bornAtMs === engine.bornAtMs
        ? previous
        : {
            bornAtMs: engine.bornAtMs,
            atMs: nowMs,
            pool: record.pool,
            runs: new Map(),
          };
    checks.set(vmId, check);
    const {requestId, callerId, fingerprint, sharedPartIds} = record.request;
    check.runs.set(fingerprint, {
      requestId,
      callerId,
      sharedPartIds,
      hasStarted: startedAtMs !== undefined,
      ranMs: Math.round(nowMs - sentAtMs),
    });
    const {address} = engine;
    if (check !== previous) {
      step.effects.push({type: 'probeEngine', vmId, address});
    }
  },

  /** Handles the result of a probe: a target that refuses connections may have ended its process. */
  probed(
    step: ServingStep,
    {vmId, outcome}: Extract<ServingEvent, {type: 'probeAnswered'}>,
  ): void {
    const {state, nowMs} = step;
    const check = state.crashes.checks.get(vmId);
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
    reportLoss(step, vmId, state.engines.get(vmId)?.service, {
      bornAtMs: check.bornAtMs,
      proof: 'connection refused after a connection broke',
      isRefused: true,
    });
  },

  /** Reports the crash of a target whose process is known to have ended. */
  confirm(step: ServingStep, vmId: VmId): void {
    const {checks} = step.state.crashes;
    const check = checks.get(vmId);
    if (check?.bornAtMs !== step.state.engines.get(vmId)?.bornAtMs) return;
    checks.delete(vmId);
    if (check) reportCrash(step, vmId, check);
  },

  /** Drops the checks of a service's targets, whose connections broke because this node's path did. */
  drop({engines, crashes}: ServingState, service: ServiceName): void {
    for (const vmId of crashes.checks.keys()) {
      if (engines.get(vmId)?.service === service) crashes.checks.delete(vmId);
    }
  },

  /** Drops checks of targets whose end was not confirmed in time. */
  expire({state, nowMs}: ServingStep): void {
    const {checks} = state.crashes;
    for (const [vmId, {atMs}] of checks) {
      if (nowMs - atMs > CRASH_CHECK_TTL_MS) checks.delete(vmId);
    }
  },
};

function reportCrash(
  step: ServingStep,
  vmId: VmId,
  {bornAtMs, pool, atMs, runs}: CrashCheck,
): void {
  const {state, nowMs} = step;
  const entries = [...runs].map(([fingerprint, run]) => ({
    fingerprint,
    sharedPartIds: run.hasStarted ? [] : run.sharedPartIds,
  }));
  addCrashReport(
    state.crashes,
    {vmId, bornAtMs, pool, ageMs: nowMs - atMs, runs: entries},
    nowMs,
  );
  for (const [fingerprint, run] of runs) {
    logDecision(step, 'warn', 'requests', 'target lost while running', {
      fingerprint,
      target: vmId,
      ...run,
    });
  }
}
