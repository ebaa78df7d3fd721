import type {RetryUsage, RetryWindow} from './types.js';
import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';
import {hasKnownWindow} from './has_known_window.js';
import {resolveFleetSize} from '../fleet_size/index.js';

const MS_PER_S = 1000;
/** Share of the budget that is used. The rest covers nodes that others don't know yet, and callers that move between nodes within a window. */
const USABLE_SHARE = 0.85;

/**
 * Counts arrivals and retries of a service, and decides whether one more retry
 * is within this node's share of the fleet's retry budget.
 *
 * Each node may use the ratio of its own requests and an equal share of the
 * constant allowance, so that the fleet's total stays within the bound without
 * coordination for each retry. The shares add up to the budget whatever the
 * nodes hear of each other: the allowance is divided by all nodes that may be
 * serving, and what a restarted node's earlier process used is counted. Where
 * that is unknown, the whole share counts as used.
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

  /** Takes back the count of a request that another node passes on, and counts. */
  removeRequest(
    state: ServingState,
    service: ServiceName,
    nowMs: number,
  ): void {
    const {requests, second} = currentWindow(state, service, nowMs);
    const at = second % requests.length;
    requests[at] = Math.max(0, requests[at]! - 1);
  },

  /** Counts a retry. */
  recordRetry(state: ServingState, service: ServiceName, nowMs: number): void {
    const window = currentWindow(state, service, nowMs);
    window.repeats[window.second % window.repeats.length]! += 1;
  },

  /** Takes back the count of a retry that reached no target. */
  removeRetry(state: ServingState, service: ServiceName, nowMs: number): void {
    const {repeats, second} = currentWindow(state, service, nowMs);
    const at = second % repeats.length;
    repeats[at] = Math.max(0, repeats[at]! - 1);
  },

  /** Whether one more retry is allowed now. */
  hasRoom(state: ServingState, service: ServiceName, nowMs: number): boolean {
    const {used, allowed} = retryBudget.usage(state, service, nowMs);
    return used + 1 <= allowed;
  },

  usage(state: ServingState, service: ServiceName, nowMs: number): RetryUsage {
    const window = currentWindow(state, service, nowMs);
    const {repeatRatio, repeatSlack} = state.bounds;
    const earned = repeatRatio * countRequests(window);
    const used = sum(window.repeats) + countInherited(state, service, nowMs);
    const nodeCount = resolveFleetSize(state);
    if (!hasKnownWindow(state, nowMs) || nodeCount === undefined) {
      return {used, allowed: (1 - USABLE_SHARE) * earned, nodeCount: 0};
    }
    const allowed = USABLE_SHARE * (earned + repeatSlack / nodeCount);
    return {used, allowed, nodeCount};
  },
};

/** Returns the retries of this node's earlier process that may still be in the window. */
function countInherited(
  {retries, bounds}: ServingState,
  service: ServiceName,
  nowMs: number,
): number {
  const {inherited} = retries;
  if (!inherited) return 0;
  if (nowMs - inherited.heardAtMs > bounds.repeatWindowMs) return 0;
  return inherited.counts.get(service) ?? 0;
}

/** Sums the requests without the oldest second, which lies partly before the window; retries are summed with it. */
function countRequests({requests, second}: RetryWindow): number {
  const oldest = requests[(second + 1) % requests.length]!;
  return sum(requests) - oldest;
}

function currentWindow(
  state: ServingState,
  service: ServiceName,
  nowMs: number,
): RetryWindow {
  const second = Math.floor(nowMs / MS_PER_S);
  let window = state.retries.windows.get(service);
  if (!window) {
    const length = Math.ceil(state.bounds.repeatWindowMs / MS_PER_S) + 1;
    window = {
      requests: new Array<number>(length).fill(0),
      repeats: new Array<number>(length).fill(0),
      second,
    };
    state.retries.windows.set(service, window);
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
