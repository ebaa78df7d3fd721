export {DEFAULT_SCHEDULING} from './default_scheduling.js';
export {createAdmissionState} from './create_admission_state.js';
export {enqueueRequest} from './enqueue_request.js';
export {nextDispatches} from './next_dispatches.js';
export {reduceAdmission} from './reduce_admission.js';
export {removeQueuedRequest} from './remove_queued_request.js';
export {requeueRequest} from './requeue_request.js';
export {selectPauses} from './select_pauses.js';
export type * from './types.js';
