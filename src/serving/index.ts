export {createServingNode} from './create_serving_node.js';
export type * from './types.js';
