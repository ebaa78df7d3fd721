import type {StoreOperation} from './store_operation.js';
import type {StoreOutcome} from './store_outcome.js';

/** Client of the platform's store service. Only the implementing class depends on the service's protocol. */
export interface PlatformStore {
  /** Performs one operation. Never rejects: failures are returned as outcomes. */
  call(operation: StoreOperation, timeoutMs: number): Promise<StoreOutcome>;
  close(): Promise<void>;
}
