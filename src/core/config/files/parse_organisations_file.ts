import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {FileFault} from './file_fault.js';
import type {IniDocument} from './ini_document.js';
import type {OrganisationConfig} from '../organisation_config.js';
import type {OrganisationId} from '../../ids/index.js';
import {
  integerField,
  listField,
  nameField,
  numberField,
  sha256Field,
} from './fields/index.js';
import {checkSections} from './check_sections.js';
import {parseSection} from './parse_section.js';
import {readIni} from './read_ini.js';
import {sortFaults} from './sort_faults.js';

const PREFIX = 'organisation.';
const MAX_IN_FLIGHT = 100_000;
const MAX_REQUESTS_PER_SECOND = 100_000;

const ORGANISATION = z.strictObject({
  tokenSha256: listField(sha256Field(), {
    items: 'SHA-256 values in 64 lower-case hexadecimal digits',
    least: 1,
  }),
  weight: numberField(0.01, 1000).default(1),
  maxRequestsPerSecond: numberField(0.01, MAX_REQUESTS_PER_SECOND),
  maxInFlight: integerField(1, MAX_IN_FLIGHT),
});

/** Checks the text of an organisations file and reports all its faults at once. */
export function parseOrganisationsFile(
  path: string,
  text: string,
): Result<OrganisationConfig[], FileFault[]> {
  const {document, faults} = readIni(path, text);
  const allFaults = [
    ...faults,
    ...checkSections(
      document,
      name => name.startsWith(PREFIX),
      '[organisation.<name>]',
    ),
  ];
  const organisations: OrganisationConfig[] = [];
  for (const name of document.sections.keys()) {
    if (!name.startsWith(PREFIX)) continue;
    parseOrganisation(document, name).match(
      organisation => organisations.push(organisation),
      errors => allFaults.push(...errors),
    );
  }
  allFaults.push(...checkTokensUnique(document, organisations));
  return allFaults.length > 0 ? err(sortFaults(allFaults)) : ok(organisations);
}

function parseOrganisation(
  document: IniDocument,
  section: string,
): Result<OrganisationConfig, FileFault[]> {
  const parsed = parseSection(document, section, ORGANISATION);
  const name = nameField<OrganisationId>().safeParse(
    section.slice(PREFIX.length),
  );
  if (name.success) return parsed.map(one => ({name: name.data, ...one}));
  const fault: FileFault = {
    path: document.path,
    line: document.sections.get(section)!.line,
    name: section,
    expected: name.error.issues[0]!.message,
    got: `"${section.slice(PREFIX.length)}"`,
  };
  return err([fault, ...(parsed.isErr() ? parsed.error : [])]);
}

/** Reports tokens that more than one organisation claims. */
function checkTokensUnique(
  document: IniDocument,
  organisations: readonly OrganisationConfig[],
): FileFault[] {
  const owners = new Map<string, string>();
  const faults: FileFault[] = [];
  for (const {name, tokenSha256} of organisations) {
    for (const token of tokenSha256) {
      const owner = owners.get(token);
      owners.set(token, name);
      if (owner === undefined) continue;
      const section = document.sections.get(PREFIX + name)!;
      faults.push({
        path: document.path,
        line: section.entries.get('tokenSha256')!.line,
        name: `${section.name}.tokenSha256`,
        expected: 'a token of this organisation alone',
        got: `the token of "${owner}"`,
      });
    }
  }
  return faults;
}
