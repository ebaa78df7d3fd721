import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import {dropClaim} from './drop_claim.js';
import {refuseOnce} from './refuse_once.js';

/** Drops a claim and refuses its request. */
export function giveUpClaim(
  step: Step,
  claim: OnceClaim,
  ...[name, verdict]: Tail<Parameters<typeof refuseOnce>>
): void {
  const {record} = claim;
  dropClaim(step, claim);
  if (record) refuseOnce(step, record, name, verdict);
}

type Tail<T> = T extends [unknown, unknown, ...infer Rest] ? Rest : never;
