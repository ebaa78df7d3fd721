import type {Step} from '../state/types.js';
import {findPeersAhead} from './find_peers_ahead.js';
import {pullFrom} from './pull_from.js';

/**
 * Requests the changes since this node's revision from a peer that is ahead. If
 * that peer lacks the history, the request goes to a second one before the complete
 * configuration is requested.
 */
export function pullChanges(step: Step): void {
  const {state, nowMs} = step;
  const {config} = state;
  if (config.pull || nowMs < config.nextPullAtMs) return;
  const ahead = findPeersAhead(state, nowMs);
  if (ahead.length === 0) return;
  pullFrom(step, ahead, new Set());
}
