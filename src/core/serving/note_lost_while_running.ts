import type {Fingerprint, VmId} from '../ids/index.js';
import type {RequestRecord, ServingStep} from './types.js';
import {logDecision} from './log_decision.js';
import {markLost} from '../steward/mark_lost.js';

/** How long a request stays under suspicion of ending its targets. */
const SUSPECT_FOR_MS = 60_000;
/** A broken connection and the loss of the target belong together within this time. */
const CHECK_MS = 5000;

/**
 * Finds requests that end the targets that run them.
 *
 * A broken connection alone says little: heads are taken out of service, and
 * answers are cut. The target is asked whether it lives, and only when it has
 * ended do the requests that it ran come under suspicion. A request that ends
 * every target comes again with the same content; those beside it on the same
 * target are seldom there twice.
 */
export const noteLostWhileRunning = {
  /** A connection broke while the target had the request. */
  broken(step: ServingStep, record: RequestRecord, vmId: VmId): void {
    const {state, nowMs} = step;
    const engine = state.engines.get(vmId);
    if (!engine) return;
    const {crashChecks} = state;
    const known = crashChecks.get(vmId);
    const check =
      known && known.bornAtMs === engine.bornAtMs
        ? known
        : {
            bornAtMs: engine.bornAtMs,
            atMs: nowMs,
            fingerprints: new Set<Fingerprint>(),
          };
    crashChecks.set(vmId, check);
    check.fingerprints.add(record.request.fingerprint);
    const {address} = engine;
    if (check !== known) {
      step.effects.push({type: 'probeEngine', vmId, address});
    }
  },

  /** The target refuses connections: its process has ended. */
  refused(step: ServingStep, vmId: VmId): void {
    const {state} = step;
    const check = state.crashChecks.get(vmId);
    if (!check) return;
    state.crashChecks.delete(vmId);
    markLost(step, vmId, 'connection refused after a broken one');
    for (const fingerprint of check.fingerprints) {
      addLoss(step, fingerprint, vmId);
    }
  },

  /** Drops checks that no loss has followed. */
  expire(step: ServingStep): void {
    const {crashChecks} = step.state;
    for (const [vmId, {atMs}] of crashChecks) {
      if (step.nowMs - atMs > CHECK_MS) crashChecks.delete(vmId);
    }
  },
};

function addLoss(
  step: ServingStep,
  fingerprint: Fingerprint,
  vmId: VmId,
): void {
  const {state, nowMs} = step;
  let suspect = state.crashSuspects.get(fingerprint);
  if (!suspect) {
    suspect = {losses: 0, untilMs: 0, lostAt: new Set()};
    state.crashSuspects.set(fingerprint, suspect);
  }
  if (suspect.lostAt.has(vmId)) return;
  suspect.lostAt.add(vmId);
  suspect.losses += 1;
  suspect.untilMs = nowMs + SUSPECT_FOR_MS;
  logDecision(step, 'warn', 'requests', 'target lost while running', {
    fingerprint,
    target: vmId,
    losses: suspect.losses,
  });
}
