import type {NodeEvent} from './events/types.js';
import {AREAS} from './areas.js';

type ReduceArea = (typeof AREAS)[number]['reduce'];

const reducersByType = new Map<NodeEvent['type'], readonly ReduceArea[]>();

/** Reducers of the areas that handle an event type, in their order; cached for each type. */
export function areasOf(type: NodeEvent['type']): readonly ReduceArea[] {
  const known = reducersByType.get(type);
  if (known) return known;
  const areas = AREAS.filter(({types}) => types?.includes(type) ?? true);
  const reducers = areas.map(({reduce}) => reduce);
  reducersByType.set(type, reducers);
  return reducers;
}
