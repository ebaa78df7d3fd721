export {PeerClient} from './peer_client.js';
export {PeerServer} from './peer_server.js';
