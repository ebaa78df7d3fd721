import type {AdmissionState} from './admission_state.js';
import {DEFAULT_SCHEDULING} from './default_scheduling.js';

/** Creates empty queues. */
export function createAdmissionState(): AdmissionState {
  return {options: DEFAULT_SCHEDULING, queues: new Map()};
}
