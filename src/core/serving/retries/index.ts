export {applyPredecessors} from './apply_predecessors.js';
export {createRetryState} from './create_retry_state.js';
export {expireRetries} from './expire_retries.js';
export {listPredecessors} from './list_predecessors.js';
export {listRetryCounts} from './list_retry_counts.js';
export {recordReportedRetries} from './record_reported_retries.js';
export {retryBudget} from './retry_budget.js';
export type * from './types.js';
