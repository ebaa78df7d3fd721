import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';

/** Time at which this steward first saw the entry in its current state. */
export function entrySince(
  step: Step,
  {since}: Stewardship,
  {replicaId, generation, state}: ReplicaEntry,
): number {
  const key = `${replicaId} ${generation} ${state}`;
  const sinceMs = since.get(key) ?? step.nowMs;
  since.set(key, sinceMs);
  return sinceMs;
}
