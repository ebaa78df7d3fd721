export {reduceOperators} from './reduce_operators.js';
export type * from './types.js';
