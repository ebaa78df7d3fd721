import type {RequestId, ServiceName} from '../ids/index.js';

/** Requests that wait, by service. */
export interface AdmissionState {
  readonly queues: Map<ServiceName, RequestId[]>;
}
