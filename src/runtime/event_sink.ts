import type {UndatedEvent} from '../core/events/types.js';

/** Accepts events, which the event loop timestamps and applies in order. */
export interface EventSink<Event = UndatedEvent> {
  dispatch(event: Event): void;
}
