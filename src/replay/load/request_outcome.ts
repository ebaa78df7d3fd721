import type {LoadRequest} from './load_request.js';

/** What became of one request of a load trace. */
export interface RequestOutcome {
  readonly request: LoadRequest;
  /** Sends by the caller. */
  sends: number;
  /** Dispatches by the nodes. */
  attempts: number;
  /** When a node first sent it to a target. */
  dispatchedAtMs?: number;
  /** When an engine first ran it. */
  startedAtMs?: number;
  firstTokenAtMs?: number;
  endedAtMs?: number;
  refusals: number;
  /** Attempts that a node ended: pauses, and runs past their deadline. */
  pauses: number;
}
