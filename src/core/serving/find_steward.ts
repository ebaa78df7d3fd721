import type {PeerView, ServingState} from './types.js';

/** A steward whose last digest is older, or came late, may have stopped; two of its digests without requests. */
const FRESH_MS = 600;

/** The peer that is the steward; undefined when none is heard. */
export function findSteward(
  {peers}: ServingState,
  nowMs: number,
): PeerView | undefined {
  for (const view of peers.values()) {
    const ageMs = nowMs - view.atMs + view.link.delayMs;
    if (view.digest.isSteward && ageMs < FRESH_MS) return view;
  }
  return undefined;
}
