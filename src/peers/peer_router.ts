import type {createPeerRouter} from './create_peer_router.js';

/** Type of the router between nodes. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
