import type {Effect} from './effects/types.js';
import type {NodeEvent} from './events/types.js';
import type {NodeState, Step} from './state/types.js';
import {areasOf} from './areas_of.js';
import {dispatchQueued} from './requests/index.js';

/**
 * Applies an event to the state, in place, and returns the effects to execute.
 * No clock, randomness or I/O: equal states and events give equal effects.
 */
export function reduce(state: NodeState, event: NodeEvent): Effect[] {
  const step: Step = {state, nowMs: event.nowMs, effects: []};
  for (const reduceArea of areasOf(event.type)) {
    reduceArea(step, event);
  }
  dispatchQueued(step);
  return step.effects;
}
