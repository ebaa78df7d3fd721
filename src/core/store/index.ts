export {STORE_PRIORITY} from './store_priority.js';
export type * from './types.js';
export {storeVersion} from './store_version.js';
