import type {UndatedEvent} from '../core/events/types.js';

/** Takes events; the loop dates and applies them in order. */
export interface EventSink<Event = UndatedEvent> {
  dispatch(event: Event): void;
}
