import type {EngineRecord} from '../../fleet/types.js';
import type {ServingStep} from '../types.js';
import {count} from '../count.js';
import {isColdOwner} from './is_cold_owner.js';
import {logDecision} from '../log_decision.js';
import {resolveColdRules} from './resolve_cold_rules.js';
import {resolveColdUntilMs} from './resolve_cold_until_ms.js';

interface ColdNews {
  /** Remaining cold time; undefined: the whole cold time of the service. */
  readonly leftMs: number | undefined;
  /** `engine`: a response to this node. */
  readonly source: 'engine' | 'entry' | 'start' | 'peer';
}

/**
 * Records that an engine is cold. Values that are no plausible time count as the
 * whole cold time of the service. News never shorten a cold time, since they may
 * arrive out of order.
 */
export function recordCold(
  step: ServingStep,
  engine: EngineRecord,
  {leftMs, source}: ColdNews,
): void {
  const {state, nowMs} = step;
  const {vmId, service, bornAtMs} = engine;
  const rules = resolveColdRules(state, service);
  if (!rules || leftMs === 0) return;
  const isPlausible =
    leftMs === undefined ||
    (Number.isFinite(leftMs) && leftMs > 0 && leftMs <= rules.coldMs);
  const wasCold = resolveColdUntilMs(state, engine) > nowMs;
  const known = state.coldness.evidence.get(vmId);
  const isWhole = leftMs === undefined || !isPlausible;
  state.coldness.evidence.set(vmId, {
    untilMs: Math.max(
      known?.untilMs ?? -Infinity,
      isWhole ? -Infinity : nowMs + leftMs,
    ),
    wholeSinceMs: isWhole ? nowMs : (known?.wholeSinceMs ?? -Infinity),
    isFirstHand: source === 'engine' || (wasCold && !!known?.isFirstHand),
  });
  if (wasCold) return;
  count(step, 'coldEngines', 1, {source});
  logDecision(
    step,
    isPlausible ? 'info' : 'warn',
    'routing',
    isPlausible ? 'engine is cold' : 'cold time not understood',
    {
      vmId,
      bornAtMs,
      source,
      named: isPlausible ? leftMs : String(leftMs),
      leftMs: Math.round(resolveColdUntilMs(state, engine) - nowMs),
      isOwner: isColdOwner(state, vmId, nowMs),
      quota: rules.quota,
    },
  );
}
