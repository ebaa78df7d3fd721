import type {NodeId} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** A relay that is silent for longer is passed over; two and a half digests of the second relay. */
const SILENT_MS = 1000;

/** Whether a node may serve as relay: it was heard a moment ago, or not given time to answer yet. */
export function isHeard(
  {nodeId: ownId, exchange, leavingSinceMs}: ServingState,
  nodeId: NodeId,
  nowMs: number,
): boolean {
  if (nodeId === ownId) return leavingSinceMs === undefined;
  const heard = exchange.heard.get(nodeId);
  if (heard?.isLeaving) return false;
  if (heard && nowMs - heard.atMs <= SILENT_MS) return true;
  const triedAtMs = exchange.triedAtMs.get(nodeId);
  if (triedAtMs === undefined) return heard === undefined;
  return nowMs - triedAtMs <= SILENT_MS;
}
