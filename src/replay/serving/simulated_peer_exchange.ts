import type {
  LoadDigest,
  RegisteredNode,
  ServingEffect,
  ServingEvent,
} from '../../core/serving/types.js';
import type {WorldNode} from './types.js';
import type {ZoneId} from '../../core/ids/index.js';
import {MAX_REGISTERED_PER_ZONE} from '../../core/serving/relays/max_registered_per_zone.js';

const NETWORK_LATENCY_MS = 1;

interface ExchangeOptions {
  after(delayMs: number, run: () => void): void;
  dispatch(node: WorldNode, event: ServingEvent): void;
}

/** Simulated exchange of digests between nodes, and the registry for peer discovery. */
export class SimulatedPeerExchange {
  /** Number of digests sent. */
  digestCount = 0;
  /** Number of loads and changes in all digests sent, which determines their size. */
  rowCount = 0;
  /** Whether digests reach one node from another, by their peer addresses; tests replace it to simulate partitions. */
  isConnected: (from: string, to: string) => boolean = () => true;
  /** Changes a digest on its way; tests replace it, to simulate nodes of other builds. */
  rewrite: (digest: LoadDigest) => LoadDigest = digest => digest;
  private readonly nodes = new Map<string, WorldNode>();

  constructor(private readonly options: ExchangeOptions) {}

  add(node: WorldNode): void {
    this.nodes.set(node.state.peerAddress, node);
  }

  /** Returns the registered nodes: the first ones of each zone, up to the registration limit. */
  list(): RegisteredNode[] {
    const counts = new Map<ZoneId, number>();
    return [...this.nodes.values()].flatMap(({state}) => {
      const {nodeId, zone, peerAddress, coreCount} = state;
      const count = (counts.get(zone) ?? 0) + 1;
      counts.set(zone, count);
      if (count > MAX_REGISTERED_PER_ZONE) return [];
      return [{nodeId, zone, peerAddress, coreCount}];
    });
  }

  deliver({digest, to}: Extract<ServingEffect, {type: 'sendDigest'}>): void {
    const {after, dispatch} = this.options;
    for (const {address, countedSentAtMs} of to) {
      const peer = this.nodes.get(address);
      if (!peer || !this.isConnected(digest.peerAddress, address)) continue;
      const sentDigest =
        countedSentAtMs === undefined
          ? this.rewrite(digest)
          : {...this.rewrite(digest), countedSentAtMs};
      this.digestCount += 1;
      this.rowCount += digest.loads.length + digest.changes.length;
      after(NETWORK_LATENCY_MS, () =>
        dispatch(peer, {type: 'digestReceived', digest: sentDigest}),
      );
    }
  }
}
