export {replayRecording} from './replay_recording.js';
export {VirtualNetwork} from './virtual_network.js';
export {VirtualNode} from './virtual_node.js';
export {VirtualStore} from './virtual_store.js';
export {VirtualTime} from './virtual_time.js';
export {VirtualWorld} from './virtual_world.js';
export type {VirtualFake} from './virtual_fake.js';
export {createPeer} from './create_peer.js';
