import type {SignRecord} from './types.js';

/** Creates the record of a target or pool that nothing was sent to yet. */
export function createSignRecord(): SignRecord {
  return {
    inFlight: 0,
    startedCount: 0,
    heardAtMs: -Infinity,
    unheardCount: 0,
    sentAtMs: -Infinity,
    probedAtMs: -Infinity,
    firstWait: {meanMs: 0, deviationMs: 0, count: 0},
    gapWait: {meanMs: 0, deviationMs: 0, count: 0},
  };
}
