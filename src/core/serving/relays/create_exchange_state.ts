import type {ExchangeState} from '../types.js';

/** Creates the state of a node that has not read the registry of nodes yet. */
export function createExchangeState(): ExchangeState {
  return {
    registeredNodes: new Map(),
    hasReadRegistry: false,
    isRelayed: false,
    relayRank: -1,
    relays: new Map(),
    contacts: new Map(),
    unansweredSinceMs: new Map(),
    links: new Map(),
    sentAtMs: new Map(),
    sentLoads: new Map(),
  };
}
