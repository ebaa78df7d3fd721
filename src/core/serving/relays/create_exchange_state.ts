import type {ExchangeState} from '../types.js';

/** Creates the state of a node that has not read the registry of nodes yet. */
export function createExchangeState(): ExchangeState {
  return {
    listed: new Map(),
    hasListed: false,
    isRelayed: false,
    relayRank: -1,
    relays: new Map(),
    heard: new Map(),
    triedAtMs: new Map(),
    links: new Map(),
    sentAtMs: new Map(),
    told: new Map(),
  };
}
