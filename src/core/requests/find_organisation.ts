import {timingSafeEqual} from 'node:crypto';
import type {ConfigDocument, OrganisationConfig} from '../config/types.js';

/** Finds the organisation of a bearer token by its hexadecimal SHA-256, comparing in constant time. */
export function findOrganisation(
  document: ConfigDocument,
  tokenSha256: string | undefined,
): OrganisationConfig | undefined {
  if (tokenSha256 === undefined) return undefined;
  const given = Buffer.from(tokenSha256, 'hex');
  let found: OrganisationConfig | undefined;
  for (const organisation of document.organisations.values()) {
    for (const accepted of organisation.tokenSha256) {
      const expected = Buffer.from(accepted, 'hex');
      if (expected.length !== given.length) continue;
      if (timingSafeEqual(expected, given)) found = organisation;
    }
  }
  return found;
}
