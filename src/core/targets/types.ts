export type {EngineAssignment} from './engine_assignment.js';
export type {EngineReport} from './engine_report.js';
export type {Target} from './target.js';
export type {TargetBar} from './target_bar.js';
export type {VmHealth} from './vm_health.js';
export type {TargetsState} from './targets_state.js';
