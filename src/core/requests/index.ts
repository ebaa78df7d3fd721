export {checkRequest} from './check_request.js';
export {claimWon} from './claim_won.js';
export {createRequestsState} from './create_requests_state.js';
export {dispatchQueued} from './dispatch_queued.js';
export {forgetRequest} from './forget_request.js';
export {reduceRequests} from './reduce_requests.js';
export {refuseRequest} from './refuse_request.js';
export type * from './types.js';
