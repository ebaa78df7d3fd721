import type {ExchangeState} from '../types.js';

/** The exchange of a node that has listed no others yet. */
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
