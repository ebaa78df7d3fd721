import type {ServingState} from '../types.js';
import {REGISTER_COUNT} from './register_count.js';
import {rankNodes} from './rank_nodes.js';

/** Whether this node has to register with the store: only the largest nodes of a zone do, up to a fixed number. */
export function isAmongRegistered({
  nodeId,
  peerAddress,
  zone,
  coreCount,
  exchange,
}: ServingState): boolean {
  const others = [...exchange.listed.values()].filter(
    node => node.zone === zone && node.nodeId !== nodeId,
  );
  const self = {nodeId, peerAddress, zone, coreCount};
  return rankNodes([...others, self]).indexOf(self) < REGISTER_COUNT;
}
