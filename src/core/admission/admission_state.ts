import type {RequestId, ServiceName} from '../ids/index.js';
import type {SchedulingOptions} from './scheduling_options.js';

/** Requests that wait, by service. */
export interface AdmissionState {
  options: SchedulingOptions;
  readonly queues: Map<ServiceName, RequestId[]>;
}
