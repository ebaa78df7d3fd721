import type {RepeatWindow, ServingState} from './types.js';
import type {ServiceName} from '../ids/index.js';

const MS_PER_S = 1000;
/** Part of the fleet's allowance that nodes use, for windows that do not line up. */
const SAFE_SHARE = 0.7;
/** Peers that were heard within this time share the allowance. */
const PEER_FRESH_MS = 5000;

/**
 * Counts arrivals and repeats of a service, and says whether one more repeat
 * is within this node's part of the fleet's allowance.
 *
 * Every node takes its own requests' ratio and an equal part of the constant,
 * so that the sum stays within the bound without any exchange on the way.
 */
export const repeatBudget = {
  noteRequest(state: ServingState, service: ServiceName, nowMs: number): void {
    const window = currentWindow(state, service, nowMs);
    window.requests[window.second % window.requests.length]! += 1;
  },

  noteRepeat(state: ServingState, service: ServiceName, nowMs: number): void {
    const window = currentWindow(state, service, nowMs);
    window.repeats[window.second % window.repeats.length]! += 1;
  },

  hasRoom(state: ServingState, service: ServiceName, nowMs: number): boolean {
    const {used, allowed} = repeatBudget.usage(state, service, nowMs);
    return used + 1 <= SAFE_SHARE * allowed;
  },

  /** Repeats in the window, and how many of them this node may have. */
  usage(
    state: ServingState,
    service: ServiceName,
    nowMs: number,
  ): {readonly used: number; readonly allowed: number} {
    const window = currentWindow(state, service, nowMs);
    const {repeatRatio, repeatSlack} = state.bounds;
    const allowed =
      repeatRatio * sum(window.requests) +
      repeatSlack / countNodes(state, nowMs);
    return {used: sum(window.repeats), allowed};
  },
};

/** Nodes that share the allowance, this one included. */
function countNodes({peers, exchange}: ServingState, nowMs: number): number {
  let count = 0;
  for (const {digest, atMs} of peers.values()) {
    if (nowMs - atMs >= PEER_FRESH_MS) continue;
    if (digest.scope === 'fleet') return digest.nodeCount;
    count += digest.nodeCount;
  }
  // Without a relay's sum, as many as are known to be there.
  return Math.max(1 + count, exchange.isRelayed ? exchange.heard.size : 1);
}

function currentWindow(
  state: ServingState,
  service: ServiceName,
  nowMs: number,
): RepeatWindow {
  const second = Math.floor(nowMs / MS_PER_S);
  let window = state.repeatWindows.get(service);
  if (!window) {
    const length = Math.ceil(state.bounds.repeatWindowMs / MS_PER_S) + 1;
    window = {
      requests: new Array<number>(length).fill(0),
      repeats: new Array<number>(length).fill(0),
      second,
    };
    state.repeatWindows.set(service, window);
  }
  const {length} = window.requests;
  const passed = Math.min(second - window.second, length);
  for (let back = 0; back < passed; back++) {
    window.requests[(second - back) % length] = 0;
    window.repeats[(second - back) % length] = 0;
  }
  window.second = Math.max(window.second, second);
  return window;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
