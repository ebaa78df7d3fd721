import type {NodeId} from '../../ids/index.js';
import type {ServingState} from '../types.js';
import {ROSTER_MS} from './roster_ms.js';

/** A relay that is silent for longer is passed over; two and a half digests of the second relay. */
const SILENT_MS = 1000;

/** Whether a node may serve as relay: it was heard a moment ago, or not given time to answer yet. */
export function isHeard(
  state: ServingState,
  nodeId: NodeId,
  nowMs: number,
): boolean {
  const {exchange} = state;
  if (nodeId === state.nodeId) return state.leavingSinceMs === undefined;
  const heard = exchange.heard.get(nodeId);
  if (heard?.isLeaving) return false;
  if (heard && nowMs - heard.atMs <= SILENT_MS) return true;
  const triedAtMs = exchange.triedAtMs.get(nodeId);
  if (triedAtMs !== undefined) return nowMs - triedAtMs <= SILENT_MS;
  // Without a relay that tells of it, a node that was not tried is not known to be silent.
  const rosterAtMs = state.peers.get('fleet')?.rosterAtMs ?? -Infinity;
  return !heard || nowMs - rosterAtMs > ROSTER_MS + SILENT_MS / 2;
}
