import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {creditLimit} from '../credits/index.js';
import {freeSlots} from './free_slots.js';
import {loadOf} from './load_of.js';
import {poolOf} from './pool_of.js';
import {mayRunOn} from '../quarantine/index.js';

/** Slots kept free on each target when credits are not in use. */
const FREE_AT_TARGET_SLOTS = 1;

/** Whether a target can start a request now with `leaveFreeSlots` slots kept free. */
export function isEligible(
  step: Step,
  record: RequestRecord,
  target: Target,
  leaveFreeSlots: number,
): boolean {
  const {info} = record;
  if (!hasFreeSlots(step, target, leaveFreeSlots)) return false;
  if (record.failedTargets.has(target.targetId)) return false;
  if (!supportsAdapter(info.adapter, target)) return false;
  if (!matchesVersion(step, record, target)) return false;
  return mayRunOn(step, info, target.targetId);
}

/** Credits are spread thinly over targets, so with credits the free slots are counted over the pool. */
function hasFreeSlots(
  step: Step,
  target: Target,
  leaveFreeSlots: number,
): boolean {
  const free = freeSlots(step, target, loadOf(step, target.targetId));
  if (creditLimit(step, target) === undefined) {
    const left = Math.min(leaveFreeSlots, FREE_AT_TARGET_SLOTS);
    return free > Math.min(left, target.slots - 1);
  }
  const pool = poolOf(step, target.service);
  return free > 0 && pool.free.size > leaveFreeSlots;
}

function supportsAdapter(adapter: string | undefined, target: Target): boolean {
  return adapter === undefined || target.adapters.includes(adapter);
}

/** A deterministic stream that was started resumes only on the version that started it. */
function matchesVersion(
  step: Step,
  {info, deliveredTokens}: RequestRecord,
  target: Target,
): boolean {
  if (!info.deterministic || deliveredTokens === 0) return true;
  const ticket = step.state.admission.tickets.get(info.requestId);
  return ticket?.version === undefined || ticket.version === target.version;
}
