import type {VmId} from '../core/ids/index.js';

/** Configuration of a stand-in engine. */
export interface EngineOptions {
  readonly vmId: VmId;
  /** Whether orders with an outdated fencing token are rejected. */
  readonly checksFencing: boolean;
  /** Concurrent requests, unless the assignment sets another number. */
  readonly slots: number;
  /** Generation speed of each stream. */
  readonly tokensPerSecond: number;
  readonly prefillTokensPerSecond: number;
  /** Time to load the weights; each adapter adds a tenth. */
  readonly loadMs: number;
  /** Capacity of the prefix cache. */
  readonly cacheBlocks: number;
}
