import type {TargetsState} from './targets_state.js';

/** Creates a view without VMs. */
export function createTargetsState(): TargetsState {
  return {
    vms: new Map(),
    reports: new Map(),
    byId: new Map(),
    byService: new Map(),
  };
}
