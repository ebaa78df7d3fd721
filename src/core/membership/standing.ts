import type {PeerMessageOf} from '../peers/types.js';

/** What a node says of itself. */
export type Standing =
  PeerMessageOf<'membership.gossip'>['nodes'][number]['standing'];
