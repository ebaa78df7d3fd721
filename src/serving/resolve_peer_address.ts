import {splitAddress} from '../http/index.js';

/** Returns the address of another listener of a peer: the peer's host with the listener's port, which is the same on all nodes. */
export function resolvePeerAddress(
  peerAddress: string,
  ownAddress: string,
): string {
  const {host} = splitAddress(peerAddress);
  return `${host}:${splitAddress(ownAddress).port}`;
}
