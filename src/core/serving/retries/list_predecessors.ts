import type {PredecessorEntry} from './types.js';
import type {ServingState} from '../types.js';

/** Limit on the entries in one datagram; the newest are kept. */
const MAX_ENTRIES = 60;

/** Lists the replaced processes of other nodes whose retries may still be in the window. */
export function listPredecessors(
  {retries, bounds}: ServingState,
  nowMs: number,
): PredecessorEntry[] {
  return [...retries.predecessors]
    .filter(([, {heardAtMs}]) => nowMs - heardAtMs <= bounds.repeatWindowMs)
    .slice(-MAX_ENTRIES)
    .map(([nodeId, one]) => ({
      nodeId,
      successor: one.successor,
      ageMs: Math.round(nowMs - one.heardAtMs),
      retries: one.retries,
    }));
}
