import type {AttemptRecord, ServingState} from '../types.js';
import {isLeavingEngine} from '../announcements/index.js';

/** Whether the target was leaving, or no longer listed: such a process ends by itself, after its last response. */
export function isPlannedEnd(
  state: ServingState,
  {vmId, bornAtMs}: Pick<AttemptRecord, 'vmId' | 'bornAtMs'>,
): boolean {
  const engine = state.engines.get(vmId);
  if (engine?.bornAtMs === bornAtMs) return isLeavingEngine(state, engine);
  return state.departedEngines.get(vmId)?.bornAtMs === bornAtMs;
}
