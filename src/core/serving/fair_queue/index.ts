export {createFairQueueState} from './create_fair_queue_state.js';
export {expireWork} from './expire_work.js';
export {fairQueue} from './fair_queue.js';
export {listWorkRows} from './list_work_rows.js';
export {recordPeerWork} from './record_peer_work.js';
export {recordSentRows} from './record_sent_rows.js';
export {subtractOwnWork} from './subtract_own_work.js';
export {sumWorkRows} from './sum_work_rows.js';
export type * from './types.js';
