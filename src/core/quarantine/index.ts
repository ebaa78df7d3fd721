export {checkQuarantine} from './check_quarantine.js';
export {createQuarantineState} from './create_quarantine_state.js';
export {mayRunOn} from './may_run_on.js';
export {noteRanToEnd} from './note_ran_to_end.js';
export {noteTargetLost} from './note_target_lost.js';
export {reduceQuarantine} from './reduce_quarantine.js';
export type * from './types.js';
