import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {loadOf} from './load_of.js';
import {occupiedSlots} from './occupied_slots.js';
import {poolOf} from './pool_of.js';

/** Bonus, in slots, for a fully cached prompt of `PREFIX_TOKENS` or more. */
const PREFIX_BONUS_SLOTS = 2;
const PREFIX_TOKENS = 1000;
/** Penalty, in slots, for a target in another zone; it only decides between equal loads. */
const OTHER_ZONE_PENALTY_SLOTS = 0.25;
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 10;

/**
 * Scores a target; lower is better. The score is its load after the dispatch, in
 * slots of a target of average speed, plus the zone penalty, less the prefix bonus.
 */
export function scoreTarget(
  step: Step,
  record: RequestRecord,
  target: Target,
): number {
  const {options} = step.state.admission;
  const load = loadOf(step, target.targetId);
  const slowness = options.relativeSpeed ? slownessOf(step, target) : 1;
  const work = (occupiedSlots(load) + 1) * slowness;
  const penalty =
    target.zone === step.state.self.zone ? 0 : OTHER_ZONE_PENALTY_SLOTS;
  const bonus = options.prefixAffinity ? prefixBonus(step, record, target) : 0;
  return work + penalty - bonus;
}

/** Time per token relative to the average of the service's targets; 1 until measured. */
function slownessOf(step: Step, target: Target): number {
  const {msPerToken} = loadOf(step, target.targetId);
  const average = poolOf(step, target.service).msPerToken;
  if (msPerToken === undefined || average === undefined) return 1;
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, msPerToken / average));
}

function prefixBonus(
  step: Step,
  {info}: RequestRecord,
  target: Target,
): number {
  const {prefixes} = step.state.routing;
  const {prefixHashes, promptTokens} = info;
  for (let at = prefixHashes.length - 1; at >= 0; at--) {
    if (!prefixes.holders(prefixHashes[at]!)?.has(target.targetId)) continue;
    const covered = (promptTokens * (at + 1)) / prefixHashes.length;
    return PREFIX_BONUS_SLOTS * Math.min(1, covered / PREFIX_TOKENS);
  }
  return 0;
}
