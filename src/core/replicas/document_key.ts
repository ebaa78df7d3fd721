import type {DomainId} from '../ids/index.js';

/** Key of a fabric domain's document in the store. */
export function documentKey(domain: DomainId): string {
  return `domains/${domain}`;
}
