import type {NodeState, Step} from '../state/types.js';
import {CONFIG_TIMING} from './config_timing.js';
import {isStoreUp} from '../membership/index.js';
import {findPeersAhead} from './find_peers_ahead.js';

/**
 * Ends catching up once neither the store nor a peer has a newer revision; the
 * node may then be ready.
 */
export function catchUp(step: Step): void {
  const {state, nowMs} = step;
  const {config} = state;
  if (!config.isCatchingUp) return;
  if (config.catchUpSinceMs === 0) startCatchingUp(step);
  const isStoreChecked = config.hasReadHead || !isStoreUp(state, nowMs);
  if (!isStoreChecked || config.reading) return;
  if (!hasReceivedHeartbeat(state, nowMs)) return;
  if (findPeersAhead(state, nowMs).length > 0) return;
  config.isCatchingUp = false;
  config.catchUpSinceMs = 0;
}

function startCatchingUp(step: Step): void {
  const {config} = step.state;
  config.catchUpSinceMs = step.nowMs;
  config.hasReadHead = false;
  config.nextHeadAtMs = step.nowMs;
}

/**
 * Whether a heartbeat was received since catching up began. A restored store
 * may be older than the revision that peers have in force, so the node waits
 * for peers first.
 */
function hasReceivedHeartbeat(state: NodeState, nowMs: number): boolean {
  const {config, membership} = state;
  const isStoreDown = !isStoreUp(state, nowMs);
  if (!membership.hasView) return false;
  for (const peer of membership.peers.values()) {
    if (peer.lastSeenAtMs > config.catchUpSinceMs && peer.sequence > 0)
      return true;
  }
  // Without store and peers the revision in force cannot be determined.
  if (isStoreDown) return false;
  const waitedMs = nowMs - config.catchUpSinceMs;
  return membership.peers.size === 0 || waitedMs >= CONFIG_TIMING.hearPeersMs;
}
