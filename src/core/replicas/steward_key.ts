import type {DomainId} from '../ids/index.js';

/** Key of a fabric domain's steward in the store; attached to the steward's lease. */
export function stewardKey(domain: DomainId): string {
  return `stewards/${domain}`;
}
