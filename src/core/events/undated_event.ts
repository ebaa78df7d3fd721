import type {AttemptEvent} from './attempt_event.js';
import type {CallerEvent} from './caller_event.js';
import type {OperatorEvent} from './operator_event.js';
import type {PeerEvent} from './peer_event.js';
import type {ProcessEvent} from './process_event.js';
import type {StoreEvent} from './store_event.js';
import type {TargetEvent} from './target_event.js';

/** An event without a timestamp; the loop adds it. */
export type UndatedEvent =
  | ProcessEvent
  | CallerEvent
  | AttemptEvent
  | StoreEvent
  | TargetEvent
  | PeerEvent
  | OperatorEvent;
