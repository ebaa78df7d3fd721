import type {EngineChange} from '../fleet/types.js';
import type {ServingState} from './types.js';

/** Changes in one datagram, which has at most 64 KB; packed, a change takes some 50 bytes. */
const MAX_CHANGES = 120;
/** Each change is told in several digests, since datagrams may be lost. */
const PASS_ON_MS = 450;

/** The changes of engines that peers are to be told of. */
export function listRecentChanges(
  state: ServingState,
  nowMs: number,
): EngineChange[] {
  return state.recentChanges
    .filter(({atMs}) => nowMs - atMs < PASS_ON_MS)
    .slice(-MAX_CHANGES)
    .map(({change}) => change);
}
