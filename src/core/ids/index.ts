export {makeId} from './make_id.js';
export type * from './types.js';
