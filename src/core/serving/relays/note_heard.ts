import type {LoadDigest, PeerLink, ServingStep} from '../types.js';
import {followLink} from '../follow_link.js';
import {setRelayed} from './set_relayed.js';

/** Notes the sender of a digest, and the nodes that it tells of, as alive; returns the way that the digest took. */
export function noteHeard(step: ServingStep, digest: LoadDigest): PeerLink {
  const {state, nowMs} = step;
  // A node that starts while many are lost may take a large fleet for a small one.
  if (digest.scope !== 'node') setRelayed(step, true, 'a relay is heard');
  const {heard, triedAtMs, links} = state.exchange;
  const {from, isLeaving, peerAddress, roster} = digest;
  heard.set(from, {atMs: nowMs, isLeaving, peerAddress});
  triedAtMs.delete(from);
  for (const node of roster) {
    const atMs = nowMs - node.ageMs;
    const known = heard.get(node.nodeId);
    if (known && known.atMs >= atMs) continue;
    heard.set(node.nodeId, {
      atMs,
      isLeaving: node.isLeaving,
      peerAddress: known?.peerAddress,
    });
  }
  const link = followLink(links.get(from), digest, nowMs);
  links.set(from, link);
  return link;
}
