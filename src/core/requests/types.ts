export type {AttemptFailure} from './attempt_failure.js';
export type {CallerRequest} from './caller_request.js';
export type {RequestInfo} from './request_info.js';
export type {RequestRecord} from './request_record.js';
export type {RequestsState} from './requests_state.js';
