import type {VmId} from '../core/ids/index.js';

/** How a stand-in engine behaves. */
export interface EngineOptions {
  readonly vmId: VmId;
  readonly checksFencing: boolean;
  readonly slots: number;
  /** Of each stream. */
  readonly tokensPerSecond: number;
  readonly prefillTokensPerSecond: number;
  readonly loadMs: number;
  readonly cacheBlocks: number;
}
