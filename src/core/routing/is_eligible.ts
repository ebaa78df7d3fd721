import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {freeSlots} from './free_slots.js';
import {loadOf} from './load_of.js';
import {mayRunOn} from '../quarantine/index.js';

/** Whether a target can start a request now and leave so many slots free. */
export function isEligible(
  step: Step,
  record: RequestRecord,
  target: Target,
  leaveFreeSlots: number,
): boolean {
  const {info} = record;
  const load = loadOf(step, target.targetId);
  if (freeSlots(step, target, load) <= leaveFreeSlots) return false;
  if (record.failedTargets.has(target.targetId)) return false;
  if (!fitsAdapter(info.adapter, target)) return false;
  if (!fitsVersion(step, record, target)) return false;
  return mayRunOn(step, info, target.targetId);
}

function fitsAdapter(adapter: string | undefined, target: Target): boolean {
  return adapter === undefined || target.adapters.includes(adapter);
}

/** A stream that must continue exactly stays with the version that began it. */
function fitsVersion(
  step: Step,
  {info, deliveredTokens}: RequestRecord,
  target: Target,
): boolean {
  if (!info.deterministic || deliveredTokens === 0) return true;
  const ticket = step.state.admission.tickets.get(info.requestId);
  return ticket?.version === undefined || ticket.version === target.version;
}
