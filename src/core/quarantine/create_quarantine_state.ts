import type {QuarantineState} from './quarantine_state.js';

/** Creates a quarantine state without suspects. */
export function createQuarantineState(): QuarantineState {
  return {
    suspects: new Map(),
    losses: new Map(),
    lossesByAwaitedVm: new Map(),
    trials: new Map(),
    outbox: {suspects: new Set(), cleared: new Set()},
    sweptAtMs: 0,
  };
}
