import {splitAddress} from '../http/index.js';

/** Where a peer hands documents on: all nodes use the same port for it. */
export function documentAddress(
  peerAddress: string,
  ownAddress: string,
): string {
  const {host} = splitAddress(peerAddress);
  return `${host}:${splitAddress(ownAddress).port}`;
}
