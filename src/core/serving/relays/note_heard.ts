import type {LoadDigest, PeerLink, ServingStep} from '../types.js';
import {followLink} from '../follow_link.js';
import {setRelayed} from './set_relayed.js';

/** Records the sender of a digest, and the nodes in its roster, as alive; returns the delay estimate for the sender's digests. */
export function noteHeard(step: ServingStep, digest: LoadDigest): PeerLink {
  const {state, nowMs} = step;
  // A node that starts while many are lost may have taken a large fleet for a small one.
  if (digest.scope !== 'node') setRelayed(step, true, 'digest from a relay');
  const {heard: contacts, triedAtMs: unansweredSinceMs, links} = state.exchange;
  const {from, isLeaving, peerAddress, roster} = digest;
  contacts.set(from, {atMs: nowMs, isLeaving, peerAddress});
  unansweredSinceMs.delete(from);
  for (const node of roster) {
    const atMs = nowMs - node.ageMs;
    const known = contacts.get(node.nodeId);
    if (known && known.atMs >= atMs) continue;
    contacts.set(node.nodeId, {
      atMs,
      isLeaving: node.isLeaving,
      peerAddress: known?.peerAddress,
    });
  }
  const link = followLink(links.get(from), digest, nowMs);
  links.set(from, link);
  return link;
}
