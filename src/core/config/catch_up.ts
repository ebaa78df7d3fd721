import type {NodeState, Step} from '../state/types.js';
import {CONFIG_TIMING} from './config_timing.js';
import {isStoreUp} from '../membership/index.js';
import {peersAhead} from './peers_ahead.js';

/** Ends catching up once nothing newer can be known: the node may then be ready. */
export function catchUp(step: Step): void {
  const {state, nowMs} = step;
  const {config} = state;
  if (!config.isCatchingUp) return;
  if (config.catchUpSinceMs === 0) startCatchingUp(step);
  const isSourceKnown = config.hasReadHead || !isStoreUp(state, nowMs);
  if (!isSourceKnown || config.reading) return;
  if (!haveHeardPeers(state, nowMs)) return;
  if (peersAhead(state, nowMs).length > 0) return;
  config.isCatchingUp = false;
  config.catchUpSinceMs = 0;
}

function startCatchingUp(step: Step): void {
  const {config} = step.state;
  config.catchUpSinceMs = step.nowMs;
  config.hasReadHead = false;
  config.nextHeadAtMs = step.nowMs;
}

/** A store may be older than what peers have in force, so they are heard first. */
function haveHeardPeers(state: NodeState, nowMs: number): boolean {
  const {config, membership} = state;
  const isStoreDown = !isStoreUp(state, nowMs);
  if (!membership.hasView) return false;
  for (const peer of membership.peers.values()) {
    if (peer.lastSeenAtMs > config.catchUpSinceMs && peer.sequence > 0)
      return true;
  }
  // Without store and peers there is nothing that says what is in force.
  if (isStoreDown) return false;
  const waitedMs = nowMs - config.catchUpSinceMs;
  return membership.peers.size === 0 || waitedMs >= CONFIG_TIMING.hearPeersMs;
}
