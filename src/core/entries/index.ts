export {resolveEntries} from './resolve_entries.js';
export type * from './types.js';
