import type {ServiceName, VmId} from '../../ids/index.js';
import type {ServingStep} from '../types.js';
import {countEngines} from './count_engines.js';
import {doubtPath} from './doubt_path.js';
import {handlePathLoss} from './handle_path_loss.js';
import {resolvePath} from './resolve_path.js';

/** Unreachable engines from which on the path is taken to be at fault, if no engine was reached meanwhile. Fewer may have ended on their own. */
const MIN_UNREACHABLE = 3;
/** Failed probes that must be among the evidence: engines of one domain may end together, but probes go to others. */
const MIN_FAILED_PROBES = 2;

/** Records that an engine of a service did not answer a new connection of this node. */
export function recordUnreachable(
  step: ServingStep,
  service: ServiceName | undefined,
  vmId: VmId,
  cause: string,
): void {
  const {state} = step;
  if (service === undefined) return;
  const path = resolvePath(state, service);
  if (path.probes.delete(vmId)) path.failedProbeCount += 1;
  path.unreachable.add(vmId);
  const engineCount = countEngines(state, service);
  const isDown =
    path.failedProbeCount >= MIN_FAILED_PROBES &&
    path.unreachable.size >= Math.min(MIN_UNREACHABLE, engineCount);
  if (isDown && path.downSinceMs === undefined) {
    path.doubtedSinceMs ??= step.nowMs;
    handlePathLoss(step, service, path);
    return;
  }
  doubtPath(step, service, `${vmId}: ${cause}`);
}
