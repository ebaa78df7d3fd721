import type {Effect} from './effects/types.js';
import type {NodeEvent} from './events/types.js';
import type {NodeState, Step} from './state/types.js';
import {dispatchQueued, reduceRequests} from './requests/index.js';
import {reduceAdmission} from './admission/index.js';
import {reduceAudit} from './audit/index.js';
import {reduceCredits} from './credits/index.js';
import {reduceConfig} from './config/index.js';
import {reduceDrain} from './drain/index.js';
import {reduceMembership} from './membership/index.js';
import {reduceOnce} from './once/index.js';
import {reduceOperators} from './operators/index.js';
import {reduceQuarantine} from './quarantine/index.js';
import {reduceReplicas} from './replicas/index.js';
import {reduceRouting} from './routing/index.js';
import {reduceTargets} from './targets/index.js';

/** Areas in the order in which they see each event; an area passes over what is not its own. */
const AREAS: readonly ((step: Step, event: NodeEvent) => void)[] = [
  reduceMembership, // first: a node that was paused gives up its authority before it acts
  reduceConfig,
  reduceReplicas,
  reduceTargets,
  reduceRouting,
  reduceCredits,
  reduceQuarantine,
  reduceOnce,
  reduceAdmission,
  reduceRequests,
  reduceDrain,
  reduceOperators,
  reduceAudit,
];

/**
 * Applies an event to the state, in place, and returns what is to be done.
 * No clock, randomness or I/O: equal states and events give equal effects.
 */
export function reduce(state: NodeState, event: NodeEvent): Effect[] {
  const step: Step = {state, nowMs: event.nowMs, effects: []};
  for (const reduceArea of AREAS) {
    reduceArea(step, event);
  }
  dispatchQueued(step);
  return step.effects;
}
