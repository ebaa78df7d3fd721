import type {LengthModel} from './length_model.js';
import type {RequestId, ServiceName} from '../ids/index.js';
import type {SchedulingOptions} from './scheduling_options.js';
import type {ServiceQueue} from './service_queue.js';
import type {Ticket} from './ticket.js';

/** Requests that wait, by service, and what is known of their work. */
export interface AdmissionState {
  options: SchedulingOptions;
  readonly queues: Map<ServiceName, ServiceQueue>;
  /** Of every request that was queued and is not over. */
  readonly tickets: Map<RequestId, Ticket>;
  /** Services with waiting requests where a slot may have come free. */
  readonly ready: Set<ServiceName>;
  /** Services whose short requests found no target since the last look. */
  readonly shortWaiting: Set<ServiceName>;
  readonly lengths: LengthModel;
}
