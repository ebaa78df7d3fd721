import type {EngineAssignment} from './engine_assignment.js';
import type {VmId} from '../ids/index.js';

/** What an engine, or an application service, says of itself. */
export interface EngineReport {
  readonly vmId: VmId;
  /** Changes when the process restarts. */
  readonly bootId: string;
  /** Grows by one with each report of one boot. */
  readonly sequence: number;
  readonly state: 'idle' | 'loading' | 'ready' | 'leaving';
  readonly assignment?: EngineAssignment;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly tokensPerSecond: number;
}
