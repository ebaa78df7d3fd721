import type {NodeId} from '../../ids/index.js';
import type {ServingState} from '../types.js';
import {ROSTER_INTERVAL_MS} from './roster_interval_ms.js';

/** A relay without digests for longer is skipped; two and a half intervals of the second relay. */
const TIMEOUT_MS = 1000;

/** Whether a node may be selected as relay: its last digest is recent, or it has not had time to respond yet. Leaving nodes are not eligible. */
export function isRelayEligible(
  state: ServingState,
  nodeId: NodeId,
  nowMs: number,
): boolean {
  const {exchange} = state;
  if (nodeId === state.nodeId) return state.leavingSinceMs === undefined;
  const contact = exchange.contacts.get(nodeId);
  if (contact?.isLeaving) return false;
  if (contact && nowMs - contact.atMs <= TIMEOUT_MS) return true;
  const sinceMs = exchange.unansweredSinceMs.get(nodeId);
  if (sinceMs !== undefined) return nowMs - sinceMs <= TIMEOUT_MS;
  // Without a current roster, the state of a node that was not contacted is unknown: it stays eligible.
  const rosterAtMs = state.peers.get('fleet')?.rosterAtMs ?? -Infinity;
  return !contact || nowMs - rosterAtMs > ROSTER_INTERVAL_MS + TIMEOUT_MS / 2;
}
