export {createRestoreState} from './create_restore_state.js';
export {relistAfterRestore} from './relist_after_restore.js';
export {isStaleRestoredEntry} from './is_stale_restored_entry.js';
export {applySettledEra} from './apply_settled_era.js';
export {markSettledEra} from './mark_settled_era.js';
export {recordConfigProof} from './record_config_proof.js';
export {isRestoring} from './is_restoring.js';
export {applyStoreEra} from './apply_store_era.js';
export type * from './types.js';
