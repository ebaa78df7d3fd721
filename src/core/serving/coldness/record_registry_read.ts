import type {ServingStep} from '../types.js';

/** Records that the registry of nodes was read: the owners of cold engines may have changed. */
export function recordRegistryRead({state, nowMs}: ServingStep): void {
  state.coldness.registryReadAtMs ??= nowMs;
  state.coldness.ownership.clear();
}
