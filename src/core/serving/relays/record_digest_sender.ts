import type {LoadDigest, PeerLink, ServingStep} from '../types.js';
import {recordReportedRetries} from '../retries/index.js';
import {updatePeerLink} from '../update_peer_link.js';
import {setRelayMode} from './set_relay_mode.js';

/** Records the sender of a digest, and the nodes in its roster, as alive; returns the delay estimate for the sender's digests. */
export function recordDigestSender(
  step: ServingStep,
  digest: LoadDigest,
): PeerLink {
  const {state, nowMs} = step;
  // A node that starts while many are lost may have mistaken a large fleet for a small one.
  if (digest.scope !== 'node') setRelayMode(step, true, 'digest from a relay');
  recordReportedRetries(step, digest);
  const {contacts, unansweredSinceMs, links} = state.exchange;
  const {from, isLeaving, peerAddress, roster} = digest;
  const isPartitioned = digest.unreachableServices.length > 0;
  contacts.set(from, {atMs: nowMs, isLeaving, isPartitioned, peerAddress});
  unansweredSinceMs.delete(from);
  for (const node of roster) {
    const atMs = nowMs - node.ageMs;
    const contact = contacts.get(node.nodeId);
    if (contact && contact.atMs >= atMs) continue;
    contacts.set(node.nodeId, {
      atMs,
      isLeaving: node.isLeaving,
      isPartitioned: node.unreachableServices.length > 0,
      peerAddress: contact?.peerAddress,
    });
  }
  const link = updatePeerLink(links.get(from), digest, nowMs);
  links.set(from, link);
  return link;
}
