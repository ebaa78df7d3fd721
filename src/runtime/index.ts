export {EventLoop} from './event_loop.js';
export {MonotonicClock} from './monotonic_clock.js';
export {createNode} from './create_node.js';
export type * from './types.js';
