import type {AdmissionState} from './admission_state.js';

/** Creates empty queues. */
export function createAdmissionState(): AdmissionState {
  return {queues: new Map()};
}
