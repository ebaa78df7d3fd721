export {applyPaceReports} from './apply_pace_reports.js';
export {createPaceState} from './create_pace_state.js';
export {expirePace} from './expire_pace.js';
export {isPaceLimited} from './is_pace_limited.js';
export {isTargetOpen} from './is_target_open.js';
export {listPaceReports} from './list_pace_reports.js';
export {recordPaceEvent} from './record_pace_event.js';
export {startRecovery} from './start_recovery.js';
export type * from './types.js';
