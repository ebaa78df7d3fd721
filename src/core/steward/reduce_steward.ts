import type {ServingEvent} from '../serving/events.js';
import type {ServingStep} from '../serving/types.js';
import {hasAuthority} from './has_authority.js';
import {RELIST_MS} from '../serving/relist_ms.js';
import {logDecision} from '../serving/log_decision.js';
import {noteOrder} from './note_order.js';
import {noteProbe} from './note_probe.js';
import {planService} from './plan_service.js';

/** Least time between two plans, where no engine has changed. */
const PLAN_INTERVAL_MS = 100;
/** A reading this old at the start of a term is recent: a watch's hold, and some. */
const READ_MS = 1500;

/** Applies an event to the steward's part of the state. */
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
      holdLease(step, event.term, event.untilMs);
      return;
    case 'stewardLeaseLost':
      dropLease(step);
      return;
    case 'storeRegained':
      // A node that knows no engines yet can't tell which entries have lapsed.
      if (!state.isFleetKnown) steward.pausedUntilMs = nowMs + RELIST_MS;
      return;
    case 'orderAnswered':
      noteOrder(step, event);
      break;
    case 'probeAnswered':
      noteProbe(step, event);
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
  if (nowMs < steward.pausedUntilMs) return;
  steward.plannedAtMs = nowMs;
  for (const {name, engine} of state.config?.services.values() ?? []) {
    if (engine && engine.models.length > 0) planService(step, name, engine);
  }
}

/** Engines that were only told of may lack what was lost on the way, and a plan must not build on them. */
function hasReadEngines({state, nowMs}: ServingStep): boolean {
  const {steward} = state;
  if (nowMs - state.fleetReadAtMs < READ_MS) steward.hasReadEngines = true;
  return state.isFleetKnown && steward.hasReadEngines;
}

function holdLease(step: ServingStep, term: number, untilMs: number): void {
  const {steward} = step.state;
  steward.leaseUntilMs = untilMs;
  if (steward.term === term) return;
  steward.term = term;
  steward.hasReadEngines = false;
  steward.epochCount = 0;
  steward.tracks.clear();
  steward.released.clear();
  steward.sentAtMs.clear();
  steward.loadEndsMs.clear();
  steward.asks.clear();
  logDecision(step, 'info', 'steward', 'stewardship begins', {term});
}

function dropLease(step: ServingStep): void {
  const {steward} = step.state;
  if (steward.term === undefined) return;
  logDecision(step, 'info', 'steward', 'stewardship ends', {
    term: steward.term,
  });
  steward.term = undefined;
  steward.leaseUntilMs = -Infinity;
  steward.tracks.clear();
}
