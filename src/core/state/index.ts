export {callStore} from './call_store.js';
export {countMetric} from './count_metric.js';
export {createNodeState} from './create_node_state.js';
export {logEvent} from './log_event.js';
export {nextId} from './next_id.js';
export type * from './types.js';
