import type {PendingLoss} from './types.js';
import type {ServiceName, VmId} from '../../ids/index.js';
import type {ServingStep} from '../types.js';
import {recordUnreachable} from './record_unreachable.js';
import {resolvePath} from './resolve_path.js';

/**
 * Reports an engine as lost. The loss takes effect once another engine answers
 * a connection that this node opened later: a node whose own path is cut would
 * otherwise take all engines for lost. A refused connection needs other nodes'
 * evidence besides, since the path to this engine alone may be cut.
 */
export function reportLoss(
  step: ServingStep,
  vmId: VmId,
  service: ServiceName | undefined,
  loss: Omit<PendingLoss, 'atMs'>,
): void {
  const {state, nowMs} = step;
  if (service === undefined) return;
  const path = resolvePath(state, service);
  if (path.downSinceMs !== undefined) return;
  const earlier = path.pendingLosses.get(vmId);
  if (earlier?.bornAtMs !== loss.bornAtMs || !earlier?.isRefused) {
    path.pendingLosses.set(vmId, {...loss, atMs: earlier?.atMs ?? nowMs});
  }
  recordUnreachable(step, service, vmId, loss.proof);
}
