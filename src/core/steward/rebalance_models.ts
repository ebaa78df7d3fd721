import type {EngineCosts} from '../fleet/types.js';
import type {ReplicaTrack} from './types.js';
import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {freeEngines} from './free_engines.js';
import {setPhase} from './set_phase.js';
import {supplyOf} from './supply_of.js';

/** A model is short when it has less than this part of the supply of another. */
const SHORT_RATIO = 0.72;
/** How long a shortage must last before replicas are closed for it. */
const LASTING_MS = 3000;
/** Engines that become free are kept for the model that lacks them for this long: closing takes up to three seconds. */
const RESERVED_MS = 5000;

/**
 * Closes replicas of a model that has too many, one domain at a time, where
 * their engines and the free ones make a replica of a model that lacks them.
 */
export function rebalanceModels(
  step: ServingStep,
  service: ServiceName,
  costs: EngineCosts,
): void {
  const {state, nowMs} = step;
  const {steward} = state;
  const models = [...costs.models].sort(
    (a, b) => supplyOf(step, a) - supplyOf(step, b),
  );
  const short = models[0];
  const rich = models.at(-1);
  if (!short || !rich) return;
  if (supplyOf(step, short) >= SHORT_RATIO * supplyOf(step, rich)) {
    steward.shortSinceMs = undefined;
    return;
  }
  steward.shortSinceMs ??= nowMs;
  if (nowMs - steward.shortSinceMs < LASTING_MS) return;
  const tracks = [...steward.tracks.values()].filter(
    track => track.service === service,
  );
  if (tracks.some(({phase}) => phase !== 'open')) return;
  const free = freeEngines(state, service);
  for (const [domain, ofDomain] of groupByDomain(tracks)) {
    const given = ofDomain.filter(({model}) => model === rich.name);
    const freeCount = free.get(domain)?.length ?? 0;
    const needed = Math.ceil((short.size - freeCount) / rich.size);
    if (needed < 1 || needed > given.length) continue;
    steward.shortSinceMs = undefined;
    steward.reserved.set(domain, {
      model: short.name,
      untilMs: nowMs + RESERVED_MS,
    });
    for (const track of given.slice(0, needed)) {
      setPhase(step, track, 'closing', `${short.name} lacks engines`);
    }
    return;
  }
}

function groupByDomain(
  tracks: readonly ReplicaTrack[],
): Map<string, ReplicaTrack[]> {
  const byDomain = new Map<string, ReplicaTrack[]>();
  for (const track of tracks) {
    const domain = track.domain ?? '';
    const ofDomain = byDomain.get(domain);
    if (ofDomain) ofDomain.push(track);
    else byDomain.set(domain, [track]);
  }
  return byDomain;
}
