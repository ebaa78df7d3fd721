import type {ServingState} from './types.js';
import {isReady} from './is_ready.js';

/** A peer that was heard within this time takes callers. */
const FRESH_MS = 900;
/** Callers accept this many addresses. */
const MAX_ENTRIES = 64;

/**
 * The addresses of nodes that take callers, or undefined when this node can't
 * tell: it is cut off from most peers that it knew a moment ago, and naming
 * only itself would gather all callers here.
 */
export function resolveEntries(
  state: ServingState,
  nowMs: number,
): string[] | undefined {
  const entries = isReady(state, nowMs) ? [state.callerAddress] : [];
  let silent = 0;
  for (const {digest, atMs} of state.peers.values()) {
    if (nowMs - atMs > FRESH_MS) silent += 1;
    else if (digest.isReady && !digest.isLeaving) {
      entries.push(digest.callerAddress);
    }
  }
  if (entries.length === 0 || silent > state.peers.size / 2) return undefined;
  return entries.slice(0, MAX_ENTRIES);
}
