import type {RequestsState} from './requests_state.js';

/** Creates a state without requests. */
export function createRequestsState(): RequestsState {
  return {byId: new Map(), byAttempt: new Map()};
}
