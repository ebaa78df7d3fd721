export type {OperatorRequest} from './operator_request.js';
export type {OperatorAnswer} from './operator_answer.js';
export type {ReplicasAnswer} from './replicas_answer.js';
export type {ServicesAnswer} from './services_answer.js';
export type {StatusAnswer} from './status_answer.js';
