import type {FleetSizeState} from './types.js';

/** Creates the state of a node that knows no other node. */
export function createFleetSizeState(): FleetSizeState {
  return {peakCount: 1, previousPeakCount: 1, periodStartMs: -Infinity};
}
