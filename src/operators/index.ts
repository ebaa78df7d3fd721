export {OperatorApi} from './operator_api.js';
export {OperatorClient} from './operator_client.js';
export type * from './types.js';
