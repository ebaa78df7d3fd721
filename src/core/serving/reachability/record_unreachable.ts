import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {countEngines} from './count_engines.js';
import {logDecision} from '../log_decision.js';
import {resolvePath} from './resolve_path.js';

/** Unreachable engines from which on the path is taken to be at fault, if no engine was reached meanwhile. Fewer may have ended on their own. */
const MIN_UNREACHABLE = 3;

/** Records that an engine did not answer a new connection of this node. */
export function recordUnreachable(
  step: ServingStep,
  vmId: VmId,
  cause: string,
): void {
  const {state, nowMs} = step;
  const engine = state.engines.get(vmId);
  if (!engine) return;
  const {service} = engine;
  const path = resolvePath(state, service);
  if (path.doubtedSinceMs === undefined) {
    path.doubtedSinceMs = nowMs;
    logDecision(step, 'debug', 'reachability', 'path to engines in doubt', {
      service,
      vmId,
      cause,
    });
  }
  path.unreachable.add(vmId);
  if (path.downSinceMs !== undefined) return;
  const engineCount = countEngines(state, service);
  if (path.unreachable.size < Math.min(MIN_UNREACHABLE, engineCount)) return;
  path.downSinceMs = nowMs;
  logDecision(step, 'warn', 'reachability', 'engines unreachable', {
    service,
    unreachable: [...path.unreachable],
    doubtedMs: Math.round(nowMs - path.doubtedSinceMs),
    engineCount,
  });
}
