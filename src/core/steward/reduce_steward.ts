import type {ServingEvent} from '../serving/events.js';
import type {ServingStep} from '../serving/types.js';
import {endStewardship} from './end_stewardship.js';
import {hasAuthority} from './has_authority.js';
import {latestTerm} from './latest_term.js';
import {REREGISTRATION_MS} from '../serving/reregistration_ms.js';
import {logDecision} from '../serving/log_decision.js';
import {handleOrderResult} from './handle_order_result.js';
import {handleProbeResult} from './handle_probe_result.js';
import {mustYieldStewardship} from './must_yield_stewardship.js';
import {planService} from './plan_service.js';

type LeaseHeld = Extract<ServingEvent, {type: 'stewardLeaseHeld'}>;

/** Minimum time between two plans on ticks, when no engine has changed. */
const PLAN_INTERVAL_MS = 100;
/** Maximum age of a read of the engines that counts as current in a term: the time-out of a long poll plus a margin. */
const MAX_READ_AGE_MS = 1500;

/** Applies an event to the steward's state, and plans when the node holds the lease. */
export function reduceSteward(step: ServingStep, event: ServingEvent): void {
  const {state, nowMs} = step;
  const {steward} = state;
  switch (event.type) {
    case 'requestArrived':
      steward.hasTraffic = true;
      return;
    case 'digestReceived':
      if (event.digest.loads.length > 0) steward.hasTraffic = true;
      return;
    case 'stewardLeaseHeld':
      applyLease(step, event);
      return;
    case 'stewardLeaseLost':
      endStewardship(step);
      return;
    case 'storeRegained':
      // Without a list of engines this node cannot determine which entries have expired.
      if (!state.isFleetKnown)
        steward.planningPausedUntilMs = nowMs + REREGISTRATION_MS;
      return;
    case 'orderAnswered':
      handleOrderResult(step, event);
      break;
    case 'probeAnswered':
      handleProbeResult(step, event);
      break;
    case 'fleetListed':
    case 'fleetChanged':
      break;
    case 'tick':
      if (nowMs - steward.plannedAtMs < PLAN_INTERVAL_MS) return;
      break;
    default:
      return;
  }
  if (!hasAuthority(steward, nowMs) || !hasReadEngines(step)) return;
  if (nowMs < steward.planningPausedUntilMs) return;
  if (mustYieldStewardship(state, nowMs)) return;
  steward.plannedAtMs = nowMs;
  for (const {name, engine} of state.config?.services.values() ?? []) {
    if (engine && engine.models.length > 0) planService(step, name, engine);
  }
}

/** Whether the engines were read from the store. Those received from peers may miss changes from lost datagrams, so no plan may rely on them. */
function hasReadEngines({state, nowMs}: ServingStep): boolean {
  const {steward} = state;
  if (nowMs - state.fleetReadAtMs < MAX_READ_AGE_MS)
    steward.hasReadEngines = true;
  return state.isFleetKnown && steward.hasReadEngines;
}

function applyLease(step: ServingStep, {term, era, untilMs}: LeaseHeld): void {
  const {steward, restore} = step.state;
  if (era !== undefined && era < (restore.era ?? 0)) {
    logDecision(step, 'warn', 'steward', 'lease of an earlier era refused', {
      term,
      era,
      knownEra: restore.era,
    });
    return;
  }
  steward.leaseUntilMs = untilMs;
  if (steward.leaseTerm === term) return;
  steward.leaseTerm = term;
  // If the store has lost earlier terms, engines would refuse every order of a lower term.
  steward.term = Math.max(term, 1 + latestTerm(step.state));
  steward.hasReadEngines = false;
  steward.epochCount = 0;
  steward.tracks.clear();
  steward.releasedReplicas.clear();
  steward.sentAtMs.clear();
  steward.weightLoadEndsMs.clear();
  steward.workShares.clear();
  steward.sharesMeasuredAtMs = -Infinity;
  steward.probeRequests.clear();
  logDecision(step, 'info', 'steward', 'steward term started', {
    term: steward.term,
    leaseTerm: term,
    era,
  });
}
