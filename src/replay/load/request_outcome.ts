import type {LoadRequest} from './load_request.js';

/** Progress and end of one request of a load trace. */
export interface RequestOutcome {
  readonly request: LoadRequest;
  /** Times that the caller sent it. */
  sends: number;
  /** Times that nodes dispatched it to a target. */
  attempts: number;
  /** When a node first dispatched it. */
  dispatchedAtMs?: number;
  /** When an engine first ran it. */
  startedAtMs?: number;
  firstTokenAtMs?: number;
  endedAtMs?: number;
  refusals: number;
  /** Attempts that a node cancelled: pauses, and runs past their deadline. */
  cancelledAttempts: number;
}
