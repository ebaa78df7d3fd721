import type {ServingStep} from '../types.js';
import {acceptsDigest} from './accepts_digest.js';
import {dropPeer} from '../drop_peer.js';
import {logDecision} from '../log_decision.js';

/** Switches between exchange through relays and direct exchange. Drops views received in the other mode, which would count requests twice. */
export function setRelayMode(
  step: ServingStep,
  isRelayed: boolean,
  cause: string,
): void {
  const {state} = step;
  const {exchange} = state;
  if (isRelayed === exchange.isRelayed) return;
  exchange.isRelayed = isRelayed;
  exchange.relayRank = -1;
  logDecision(step, 'info', 'peers', 'exchange of digests', {
    byRelays: isRelayed,
    cause,
    listed: exchange.registeredNodes.size,
  });
  for (const [key, {digest}] of [...state.peers]) {
    if (!acceptsDigest(state, digest)) dropPeer(state, key);
  }
}
