import type {EngineRecord, ModelSpec} from '../fleet/types.js';
import type {ModelExchange, ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {isCold} from './is_cold.js';

interface DomainSupply {
  readonly domain: string;
  readonly rich: ModelSpec;
  readonly given: readonly ReplicaTrack[];
  readonly free: readonly EngineRecord[];
}

/** The replicas of a domain that make room for one of the model that is short; undefined where there are too few. */
export function planExchange(
  {state}: ServingStep,
  short: ModelSpec,
  {domain, rich, given, free}: DomainSupply,
): ModelExchange | undefined {
  const needed = Math.ceil((short.size - free.length) / rich.size);
  if (needed < 1 || needed > given.length) return undefined;
  const lacks = (engine: EngineRecord) => isCold(engine, short.name);
  const membersOf = ({members}: ReplicaTrack) =>
    members.flatMap(vmId => state.engines.get(vmId) ?? []);
  const countCold = (track: ReplicaTrack) =>
    membersOf(track).filter(lacks).length;
  const closed = [...given]
    .sort((a, b) => countCold(a) - countCold(b))
    .slice(0, needed);
  const engines = [...free, ...closed.flatMap(membersOf)];
  const warm = engines.filter(engine => !lacks(engine));
  const missing = Math.max(0, short.size - warm.length);
  const cold = engines.filter(lacks).slice(0, missing);
  return {domain, closed, cold};
}
