import type {RequestsState} from './requests_state.js';
import {DeadlineWheel} from './deadline_wheel.js';

/** Creates a state without requests. */
export function createRequestsState(): RequestsState {
  return {
    byId: new Map(),
    byAttempt: new Map(),
    byTarget: new Map(),
    deadlines: new DeadlineWheel(),
  };
}
