import type {RetryUsage, RetryWindow, ServingState} from './types.js';
import type {ServiceName} from '../ids/index.js';
import {countActiveNodes} from './count_active_nodes.js';

const MS_PER_S = 1000;
/** Share of the fleet's budget that is used; the rest covers windows that are not aligned between nodes. */
const USABLE_SHARE = 0.7;

/**
 * Counts arrivals and retries of a service, and decides whether one more retry
 * is within this node's part of the fleet's retry budget.
 *
 * Each node may use the ratio of its own requests and an equal part of the
 * constant allowance, so that the fleet's total stays within the bound without
 * coordination for each retry.
 */
export const retryBudget = {
  /** Counts an arrived request. */
  recordRequest(
    state: ServingState,
    service: ServiceName,
    nowMs: number,
  ): void {
    const window = currentWindow(state, service, nowMs);
    window.requests[window.second % window.requests.length]! += 1;
  },

  /** Counts a retry. */
  recordRetry(state: ServingState, service: ServiceName, nowMs: number): void {
    const window = currentWindow(state, service, nowMs);
    window.repeats[window.second % window.repeats.length]! += 1;
  },

  /** Whether one more retry is allowed now. */
  hasRoom(state: ServingState, service: ServiceName, nowMs: number): boolean {
    const {used, allowed} = retryBudget.usage(state, service, nowMs);
    return used + 1 <= USABLE_SHARE * allowed;
  },

  usage(state: ServingState, service: ServiceName, nowMs: number): RetryUsage {
    const window = currentWindow(state, service, nowMs);
    const {repeatRatio, repeatSlack} = state.bounds;
    const nodeCount = countActiveNodes(state, nowMs);
    const allowed =
      repeatRatio * sum(window.requests) + repeatSlack / nodeCount;
    return {used: sum(window.repeats), allowed, nodeCount};
  },
};

function currentWindow(
  state: ServingState,
  service: ServiceName,
  nowMs: number,
): RetryWindow {
  const second = Math.floor(nowMs / MS_PER_S);
  let window = state.retryWindows.get(service);
  if (!window) {
    const length = Math.ceil(state.bounds.repeatWindowMs / MS_PER_S) + 1;
    window = {
      requests: new Array<number>(length).fill(0),
      repeats: new Array<number>(length).fill(0),
      second,
    };
    state.retryWindows.set(service, window);
  }
  const {length} = window.requests;
  const elapsed = Math.min(second - window.second, length);
  for (let offset = 0; offset < elapsed; offset++) {
    window.requests[(second - offset) % length] = 0;
    window.repeats[(second - offset) % length] = 0;
  }
  window.second = Math.max(window.second, second);
  return window;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
