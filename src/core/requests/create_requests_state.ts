import type {RequestsState} from './requests_state.js';
import {DeadlineWheel} from './deadline_wheel.js';

/** Creates the request state of a node without requests. */
export function createRequestsState(): RequestsState {
  return {
    byId: new Map(),
    byAttempt: new Map(),
    byTarget: new Map(),
    deadlines: new DeadlineWheel(),
  };
}
