import type {EngineChange} from '../fleet/types.js';
import type {ServingState} from './types.js';

/** Limit on changes in one datagram of at most 64 KB; a change takes about 50 bytes compressed. */
const MAX_CHANGES = 120;
/** How long each change is sent again in every digest, since datagrams may be lost. */
const RESEND_PERIOD_MS = 450;

/** Returns the engine changes for the next digest, the newest last. */
export function listRecentChanges(
  state: ServingState,
  nowMs: number,
): EngineChange[] {
  return state.recentChanges
    .filter(({atMs}) => nowMs - atMs < RESEND_PERIOD_MS)
    .slice(-MAX_CHANGES)
    .map(({change}) => change);
}
