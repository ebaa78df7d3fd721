import type {DomainId} from '../ids/index.js';
import type {Stewardship} from './stewardship.js';

/** Creates the state of a stewardship that is being claimed. */
export function createStewardship(domain: DomainId): Stewardship {
  return {
    domain,
    phase: 'claiming',
    version: 0,
    fencingToken: 0,
    retryAtMs: 0,
    firstOrderAtMs: Infinity,
    orders: new Map(),
    grants: new Map(),
    weightsAtMs: 0,
    since: new Map(),
  };
}
