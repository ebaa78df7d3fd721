import type {RequestRecord, ServingState, ServingTarget} from '../types.js';
import {avoidsCold} from './avoids_cold.js';
import {isColdOwner} from './is_cold_owner.js';
import {quotaFreesAtMs} from './quota_frees_at_ms.js';
import {resolveColdRules} from './resolve_cold_rules.js';
import {resolveColdUntilMs} from './resolve_cold_until_ms.js';

interface ColdOpening {
  /** When this node may send the request there. */
  readonly opensAtMs: number;
  /** When any node may. */
  readonly warmAtMs: number;
  /** Requests that this node may send there in each window until then. */
  readonly quota: number;
}

/** Returns when a cold target opens to this node for a request; undefined if it is open now. */
export function findColdOpening(
  state: ServingState,
  record: RequestRecord,
  {vmId, engine}: ServingTarget,
  nowMs: number,
): ColdOpening | undefined {
  const rules = resolveColdRules(state, engine.service);
  if (!rules) return undefined;
  const warmAtMs = resolveColdUntilMs(state, engine);
  if (warmAtMs <= nowMs) return undefined;
  if (avoidsCold(record) || !isColdOwner(state, vmId, nowMs)) {
    return {opensAtMs: warmAtMs, warmAtMs, quota: 0};
  }
  const freesAtMs = quotaFreesAtMs(state, vmId, rules.quota);
  if (freesAtMs <= nowMs) return undefined;
  const opensAtMs = Math.min(warmAtMs, freesAtMs);
  return {opensAtMs, warmAtMs, quota: rules.quota};
}
