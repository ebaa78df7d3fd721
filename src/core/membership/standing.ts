import type {PeerMessageOf} from '../peers/types.js';

/** A node's status as it reports it in heartbeats and gossip. */
export type Standing =
  PeerMessageOf<'membership.gossip'>['nodes'][number]['standing'];
