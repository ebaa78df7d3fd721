import {splitAddress} from '../http/index.js';

/** Returns the address of a peer's document server: the peer's host with the document port, which is the same on all nodes. */
export function resolveDocumentAddress(
  peerAddress: string,
  ownAddress: string,
): string {
  const {host} = splitAddress(peerAddress);
  return `${host}:${splitAddress(ownAddress).port}`;
}
