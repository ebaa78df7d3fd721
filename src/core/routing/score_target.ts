import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {loadOf} from './load_of.js';
import {occupiedSlots} from './occupied_slots.js';
import {poolOf} from './pool_of.js';

/** What a wholly cached prompt of `PREFIX_TOKENS` or more is worth, in slots. */
const PREFIX_VALUE_SLOTS = 2;
const PREFIX_TOKENS = 1000;
/** What a target in another zone costs, in slots: it decides between equals. */
const OTHER_ZONE_SLOTS = 0.25;
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 10;

/** Load after the dispatch in slots of a target of usual speed, less what a cached prefix is worth. */
export function scoreTarget(
  step: Step,
  record: RequestRecord,
  target: Target,
): number {
  const {options} = step.state.admission;
  const load = loadOf(step, target.targetId);
  const slowness = options.relativeSpeed ? slownessOf(step, target) : 1;
  const work = (occupiedSlots(load) + 1) * slowness;
  const zone = target.zone === step.state.self.zone ? 0 : OTHER_ZONE_SLOTS;
  const prefix = options.prefixAffinity ? prefixValue(step, record, target) : 0;
  return work + zone - prefix;
}

/** Time of a token against the peers of the same service; 1 until measured. */
function slownessOf(step: Step, target: Target): number {
  const {msPerToken} = loadOf(step, target.targetId);
  const usual = poolOf(step, target.service).msPerToken;
  if (msPerToken === undefined || usual === undefined) return 1;
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, msPerToken / usual));
}

function prefixValue(
  step: Step,
  {info}: RequestRecord,
  target: Target,
): number {
  const {prefixes} = step.state.routing;
  const {prefixHashes, promptTokens} = info;
  for (let at = prefixHashes.length - 1; at >= 0; at--) {
    if (!prefixes.holders(prefixHashes[at]!)?.has(target.targetId)) continue;
    const covered = (promptTokens * (at + 1)) / prefixHashes.length;
    return PREFIX_VALUE_SLOTS * Math.min(1, covered / PREFIX_TOKENS);
  }
  return 0;
}
