import type {ServiceName} from '../../ids/index.js';
import type {ServicePath} from './types.js';
import type {ServingStep} from '../types.js';
import {crashDetection} from '../crashes/index.js';
import {doubtPath} from './doubt_path.js';
import {logDecision} from '../log_decision.js';

/** Handles the loss of this node's path to a service: drops what was learned of engines over it, and tests the paths to other services. */
export function handlePathLoss(
  step: ServingStep,
  service: ServiceName,
  path: ServicePath,
): void {
  const {state, nowMs} = step;
  path.downSinceMs = nowMs;
  logDecision(step, 'warn', 'reachability', 'engines unreachable', {
    service,
    unreachable: [...path.unreachable],
    doubtedMs: Math.round(nowMs - (path.doubtedSinceMs ?? nowMs)),
    pendingLosses: path.pendingLosses.size,
  });
  path.pendingLosses.clear();
  crashDetection.drop(state, service);
  for (const other of state.config?.services.keys() ?? []) {
    if (state.reachability.paths.get(other)?.downSinceMs !== undefined)
      continue;
    doubtPath(step, other, `engines of ${service} are unreachable`);
  }
}
