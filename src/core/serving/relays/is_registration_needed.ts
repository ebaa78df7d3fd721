import type {ServingState} from '../types.js';
import {MAX_REGISTERED_PER_ZONE} from './max_registered_per_zone.js';
import {rankNodes} from './rank_nodes.js';

/** Whether this node has to register with the store: only the largest nodes of a zone do, up to a fixed number. */
export function isRegistrationNeeded({
  nodeId,
  peerAddress,
  zone,
  coreCount,
  exchange,
}: ServingState): boolean {
  const others = [...exchange.registeredNodes.values()].filter(
    node => node.zone === zone && node.nodeId !== nodeId,
  );
  const self = {nodeId, peerAddress, zone, coreCount};
  return rankNodes([...others, self]).indexOf(self) < MAX_REGISTERED_PER_ZONE;
}
