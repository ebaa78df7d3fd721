import type {NodeEvent} from './events/types.js';
import {AREAS} from './areas.js';

type ReduceArea = (typeof AREAS)[number]['reduce'];

const byType = new Map<NodeEvent['type'], readonly ReduceArea[]>();

/** The areas that act at an event of a type, in their order; found once for each type. */
export function areasOf(type: NodeEvent['type']): readonly ReduceArea[] {
  const known = byType.get(type);
  if (known) return known;
  const areas = AREAS.filter(({types}) => types?.includes(type) ?? true);
  const reducers = areas.map(({reduce}) => reduce);
  byType.set(type, reducers);
  return reducers;
}
