import type {EngineAssignment} from './engine_assignment.js';
import type {VmId} from '../ids/index.js';

/** State that an engine or application service reports about itself. */
export interface EngineReport {
  readonly vmId: VmId;
  /** Identifies the run of the process; changes at each restart. */
  readonly bootId: string;
  /** Increases by one with each report of a run. */
  readonly sequence: number;
  readonly state: 'idle' | 'loading' | 'ready' | 'leaving';
  readonly assignment?: EngineAssignment;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly tokensPerSecond: number;
}
