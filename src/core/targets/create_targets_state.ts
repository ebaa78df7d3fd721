import type {TargetsState} from './targets_state.js';

/** Creates the state of a node that has not read a VM list yet. */
export function createTargetsState(): TargetsState {
  return {
    vms: new Map(),
    reports: new Map(),
    byId: new Map(),
    byService: new Map(),
    health: new Map(),
    targetByVm: new Map(),
    leaders: new Map(),
    leavingAnnouncedAtMs: new Map(),
    broken: new Set(),
    list: {nextAtMs: 0, lastReadAtMs: 0},
    minDocumentReadAtMs: -Infinity,
    lastSweepAtMs: 0,
    pollKey: '',
  };
}
