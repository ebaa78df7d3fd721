export type {OperatorFailure} from './operator_failure.js';
