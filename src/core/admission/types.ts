export type {AdmissionState} from './admission_state.js';
export type {Dispatch} from './dispatch.js';
export type {SchedulingOptions} from './scheduling_options.js';
