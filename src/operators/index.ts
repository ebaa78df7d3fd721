export {OperatorApi} from './operator_api.js';
