export {createRestoreState} from './create_restore_state.js';
export {endRestore} from './end_restore.js';
export {isOlderCopy} from './is_older_copy.js';
export {isRestoring} from './is_restoring.js';
export {noteStoreEra} from './note_store_era.js';
export type * from './types.js';
