import type {PeerView, ServingState} from './types.js';

/** A steward whose last digest is older, transit delay included, may have stopped; two digest intervals of an idle node. */
const STEWARD_MAX_AGE_MS = 600;

/** Returns the peer that is the steward; undefined when no recent digest comes from a steward. */
export function findSteward(
  {peers}: ServingState,
  nowMs: number,
): PeerView | undefined {
  for (const view of peers.values()) {
    const ageMs = nowMs - view.atMs + view.link.delayMs;
    if (view.digest.isSteward && ageMs < STEWARD_MAX_AGE_MS) return view;
  }
  return undefined;
}
