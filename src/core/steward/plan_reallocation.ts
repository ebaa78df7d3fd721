import type {EngineRecord, ModelSpec} from '../fleet/types.js';
import type {ModelReallocation, ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {isCold} from './is_cold.js';

/** Engines of a domain that can be moved to another model. */
interface DomainSupply {
  readonly domain: string;
  readonly donor: ModelSpec;
  /** Open replicas of the donor model. */
  readonly candidates: readonly ReplicaTrack[];
  readonly free: readonly EngineRecord[];
}

/** Selects the replicas of a domain to close for one replica of the underprovisioned model, fewest cold engines first; undefined if there are too few, or none need be closed. */
export function planReallocation(
  {state}: ServingStep,
  recipient: ModelSpec,
  {domain, donor, candidates, free}: DomainSupply,
): ModelReallocation | undefined {
  const needed = Math.ceil((recipient.size - free.length) / donor.size);
  if (needed < 1 || needed > candidates.length) return undefined;
  const needsLoad = (engine: EngineRecord) => isCold(engine, recipient.name);
  const membersOf = ({members}: ReplicaTrack) =>
    members.flatMap(vmId => state.engines.get(vmId) ?? []);
  const countCold = (track: ReplicaTrack) =>
    membersOf(track).filter(needsLoad).length;
  const replicasToClose = [...candidates]
    .sort((a, b) => countCold(a) - countCold(b))
    .slice(0, needed);
  const engines = [...free, ...replicasToClose.flatMap(membersOf)];
  const warm = engines.filter(engine => !needsLoad(engine));
  const missing = Math.max(0, recipient.size - warm.length);
  const coldEngines = engines.filter(needsLoad).slice(0, missing);
  return {domain, replicasToClose, coldEngines};
}
