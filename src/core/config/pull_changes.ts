import type {Step} from '../state/types.js';
import {peersAhead} from './peers_ahead.js';
import {pullFrom} from './pull_from.js';

/**
 * Asks a peer that is ahead for the changes since this node's revision. A peer
 * without that history is passed over for a second one, and only then is the
 * whole configuration asked for.
 */
export function pullChanges(step: Step): void {
  const {state, nowMs} = step;
  const {config} = state;
  if (config.pull || nowMs < config.nextPullAtMs) return;
  const ahead = peersAhead(state, nowMs);
  if (ahead.length === 0) return;
  pullFrom(step, ahead, new Set());
}
