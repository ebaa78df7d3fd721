import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {confirmLosses} from './confirm_losses.js';
import {dropPathEvidence} from './drop_path_evidence.js';
import {logDecision} from '../log_decision.js';
import {probePath} from './probe_path.js';
import {refuteEnd} from './refute_end.js';

/** Records that an engine answered a connection that this node began to open at `sinceMs`. */
export function recordReached(
  step: ServingStep,
  vmId: VmId,
  sinceMs: number,
): void {
  const {state, nowMs} = step;
  refuteEnd(step, vmId, sinceMs);
  const service = state.engines.get(vmId)?.service;
  const path = service && state.reachability.paths.get(service);
  if (!path || path.doubtedSinceMs === undefined) return;
  path.probes.delete(vmId);
  // An answer to an earlier connection says nothing about the path since then.
  if (sinceMs < path.doubtedSinceMs) return;
  path.pendingLosses.delete(vmId);
  if (path.downSinceMs !== undefined) {
    logDecision(step, 'info', 'reachability', 'engines reachable again', {
      service,
      vmId,
      downMs: Math.round(nowMs - path.downSinceMs),
    });
    dropPathEvidence(state, service);
  }
  path.unreachable.clear();
  path.failedProbeCount = 0;
  path.downSinceMs = undefined;
  confirmLosses(step, path, sinceMs);
  // Losses after this connection was begun need a later proof.
  const [next] = path.pendingLosses.values();
  path.doubtedSinceMs = next?.atMs;
  if (!next) return;
  for (const lostId of path.pendingLosses.keys()) path.unreachable.add(lostId);
  probePath(step, service, path);
}
