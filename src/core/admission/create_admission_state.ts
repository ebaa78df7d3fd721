import type {AdmissionState} from './admission_state.js';
import {DEFAULT_SCHEDULING} from './default_scheduling.js';
import {LengthModel} from './length_model.js';

/** Creates an admission state with empty queues and the default options. */
export function createAdmissionState(): AdmissionState {
  return {
    options: DEFAULT_SCHEDULING,
    queues: new Map(),
    tickets: new Map(),
    ready: new Set(),
    shortWaiting: new Set(),
    lengths: new LengthModel(),
  };
}
