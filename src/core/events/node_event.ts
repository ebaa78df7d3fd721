import type {UndatedEvent} from './undated_event.js';

/**
 * Any event that a node reacts to. `nowMs` is the node's monotonic clock, anchored to
 * the wall clock at start; it never steps back.
 */
export type NodeEvent = {readonly nowMs: number} & UndatedEvent;
