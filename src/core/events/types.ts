export type {CoreArea} from './core_area.js';
export type {EventOf} from './event_of.js';
export type {NodeEvent} from './node_event.js';
export type {UndatedEvent} from './undated_event.js';
