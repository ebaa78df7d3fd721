export type {OperatorRequest} from './operator_request.js';
export type {OperatorAnswer} from './operator_answer.js';
