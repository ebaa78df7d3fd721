import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {logDecision} from '../log_decision.js';

/** Records that an engine answered a connection that this node began to open at `sinceMs`. */
export function recordReached(
  step: ServingStep,
  vmId: VmId,
  sinceMs: number,
): void {
  const {state, nowMs} = step;
  const service = state.engines.get(vmId)?.service;
  const path = service && state.reachability.paths.get(service);
  if (!path || path.doubtedSinceMs === undefined) return;
  // An answer to an earlier connection says nothing about the path since then.
  if (sinceMs < path.doubtedSinceMs) return;
  if (path.downSinceMs !== undefined) {
    logDecision(step, 'info', 'reachability', 'engines reachable again', {
      service,
      vmId,
      downMs: Math.round(nowMs - path.downSinceMs),
    });
  }
  path.unreachable.clear();
  path.doubtedSinceMs = undefined;
  path.downSinceMs = undefined;
}
