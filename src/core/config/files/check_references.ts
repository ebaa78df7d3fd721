import type {ConfigFile} from './config_file.js';
import type {FileFault} from './file_fault.js';
import type {IniDocument} from './ini_document.js';
import {fileKind} from './file_kind.js';
import {readIni} from './read_ini.js';

const ORGANISATION_PREFIX = 'organisation.';

/**
 * Checks references between files: unique service names and known
 * organisations. Works on the files as written, so that a fault elsewhere in a
 * file does not hide these faults.
 */
export function checkReferences(
  files: readonly ConfigFile[],
  knownOrganisations?: ReadonlySet<string>,
): FileFault[] {
  const read = (kind: string) =>
    files
      .filter(file => fileKind(file.text) === kind)
      .map(file => readIni(file.path, file.text).document);
  const services = read('service');
  const published = read('organisations').flatMap(organisationNames);
  const names = published.length > 0 ? new Set(published) : knownOrganisations;
  return [
    ...checkServiceNames(services),
    ...(names ? checkOrganisationNames(services, names) : []),
  ];
}

function organisationNames(document: IniDocument): string[] {
  return [...document.sections.keys()]
    .filter(name => name.startsWith(ORGANISATION_PREFIX))
    .map(name => name.slice(ORGANISATION_PREFIX.length));
}

function checkServiceNames(documents: readonly IniDocument[]): FileFault[] {
  const owners = new Map<string, string>();
  const faults: FileFault[] = [];
  for (const {path, sections} of documents) {
    const entry = sections.get('service')!.entries.get('name');
    if (!entry) continue;
    const owner = owners.get(entry.value);
    if (owner === undefined) {
      owners.set(entry.value, path);
      continue;
    }
    faults.push({
      path,
      line: entry.line,
      name: 'service.name',
      expected: `a name of its own (${owner} has it)`,
      got: `"${entry.value}"`,
    });
  }
  return faults;
}

function checkOrganisationNames(
  documents: readonly IniDocument[],
  names: ReadonlySet<string>,
): FileFault[] {
  const known = [...names].sort().join(', ');
  return documents.flatMap(({path, sections}) => {
    const entry = sections.get('service')!.entries.get('organisations');
    if (!entry) return [];
    return entry.value
      .split(',')
      .map(name => name.trim())
      .filter(name => name !== '' && !names.has(name))
      .map(name => ({
        path,
        line: entry.line,
        name: 'service.organisations',
        expected: `organisations that exist (${known})`,
        got: `"${name}"`,
      }));
  });
}
