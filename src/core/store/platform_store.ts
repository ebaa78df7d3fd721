import type {StoreOperation} from './store_operation.js';
import type {StoreOutcome} from './store_outcome.js';

/** The platform's service. One class speaks its protocol; nothing else knows it. */
export interface PlatformStore {
  /** Never rejects: failures are outcomes. */
  call(operation: StoreOperation, timeoutMs: number): Promise<StoreOutcome>;
  close(): Promise<void>;
}
