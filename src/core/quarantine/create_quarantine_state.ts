import type {QuarantineState} from './quarantine_state.js';

/** Creates a quarantine without suspects. */
export function createQuarantineState(): QuarantineState {
  return {suspects: new Map()};
}
