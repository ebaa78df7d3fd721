import type {NodeEvent} from './node_event.js';

/** The event with the given `type`. */
export type EventOf<T extends NodeEvent['type']> = Extract<
  NodeEvent,
  {type: T}
>;
