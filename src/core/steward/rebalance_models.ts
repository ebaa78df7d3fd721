import type {EngineCosts, ModelSpec} from '../fleet/types.js';
import type {ModelExchange, ReplicaTrack} from './types.js';
import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {countFreeLoads} from './count_loads.js';
import {giveOrder} from './give_order.js';
import {planExchange} from './plan_exchange.js';
import {noteLoad} from './note_load.js';
import {easesLoad} from './eases_load.js';
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
 * Engines without its weights load them first, beside their work.
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
  const isUnderWay = [...steward.reserved.values()].some(
    ({untilMs}) => nowMs < untilMs,
  );
  if (isUnderWay) return;
  const tracks = [...steward.tracks.values()].filter(
    track => track.service === service,
  );
  const free = freeEngines(state, service);
  const options: ModelExchange[] = [];
  for (const [domain, ofDomain] of groupByDomain(tracks)) {
    // Losses come in series: a replica elsewhere that waits for its lost head must not hold this up.
    if (ofDomain.some(({phase}) => phase !== 'open')) continue;
    const exchange = planExchange(step, short, {
      domain,
      rich,
      given: ofDomain.filter(({model}) => model === rich.name),
      free: free.get(domain) ?? [],
    });
    if (exchange) options.push(exchange);
  }
  const best = options.sort((a, b) => a.cold.length - b.cold.length)[0];
  if (!best) return;
  if (!easesLoad(state, short, rich, best, costs.slotCount)) return;
  if (best.cold.length > 0) {
    prepareEngines(step, costs, short, best);
    return;
  }
  steward.shortSinceMs = undefined;
  steward.reserved.set(best.domain, {
    model: short.name,
    untilMs: nowMs + RESERVED_MS,
  });
  for (const track of best.closed) {
    setPhase(step, track, 'closing', `${short.name} lacks engines`);
  }
}

/** Loads the weights of the model that is short onto hosts whose engines serve meanwhile. */
function prepareEngines(
  step: ServingStep,
  costs: EngineCosts,
  short: ModelSpec,
  {cold}: ModelExchange,
): void {
  for (const engine of cold) {
    if (step.state.steward.loadEndsMs.has(engine.vmId)) continue;
    if (countFreeLoads(step, costs) < 1) return;
    noteLoad(step, engine.vmId, short.loadMs);
    giveOrder(step, engine, {kind: 'stage', model: short.name});
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
