import type {LengthModel} from './length_model.js';
import type {RequestId, ServiceName} from '../ids/index.js';
import type {SchedulingOptions} from './scheduling_options.js';
import type {ServiceQueue} from './service_queue.js';
import type {Ticket} from './ticket.js';

/** Queues of waiting requests by service, and the learned model of their lengths. */
export interface AdmissionState {
  options: SchedulingOptions;
  readonly queues: Map<ServiceName, ServiceQueue>;
  /** Tickets of all requests that were queued and have not ended. */
  readonly tickets: Map<RequestId, Ticket>;
  /** Services with waiting requests whose targets may have a free slot. */
  readonly ready: Set<ServiceName>;
  /** Services whose short requests got no target since pauses were last selected. */
  readonly shortWaiting: Set<ServiceName>;
  readonly lengths: LengthModel;
}
