import type {ColdnessState} from './types.js';

/** Creates the state of a node that knows of no cold engine and has sent nothing. */
export function createColdnessState(): ColdnessState {
  return {evidence: new Map(), sendTimesMs: new Map(), ownership: new Map()};
}
