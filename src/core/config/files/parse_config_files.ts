import {err, ok, type Result} from 'neverthrow';
import type {ConfigFile} from './config_file.js';
import type {FileFault} from './file_fault.js';
import type {ParsedFiles} from './parsed_files.js';
import {checkReferences} from './check_references.js';
import {fileKind} from './file_kind.js';
import {parseOrganisationsFile} from './parse_organisations_file.js';
import {parseServiceFile} from './parse_service_file.js';
import {sortFaults} from './sort_faults.js';

type Service = ParsedFiles['services'][number];
type Organisations = NonNullable<ParsedFiles['organisations']>;

/**
 * Checks all files of a publication, separately and against each other.
 * `knownOrganisations` are those in force, used when the publication has no
 * organisations file; when undefined, the names are not checked.
 */
export function parseConfigFiles(
  files: readonly ConfigFile[],
  knownOrganisations?: ReadonlySet<string>,
): Result<ParsedFiles, FileFault[]> {
  const services: Service[] = [];
  const organisations: Organisations[] = [];
  const organisationFiles: string[] = [];
  const faults: FileFault[] = [];
  for (const {path, text} of files) {
    switch (fileKind(text)) {
      case 'service':
        parseServiceFile(path, text).match(
          service => services.push({path, text, service}),
          errors => faults.push(...errors),
        );
        break;
      case 'organisations':
        organisationFiles.push(path);
        parseOrganisationsFile(path, text).match(
          parsed => organisations.push({path, text, organisations: parsed}),
          errors => faults.push(...errors),
        );
        break;
      default:
        faults.push(unknownFile(path));
    }
  }
  faults.push(...checkOneOrganisationsFile(organisationFiles));
  faults.push(...checkReferences(files, knownOrganisations));
  if (faults.length > 0) return err(sortFaults(faults));
  return ok({
    services,
    ...(organisations[0] && {organisations: organisations[0]}),
  });
}

function unknownFile(path: string): FileFault {
  return {
    path,
    line: 0,
    name: 'file',
    expected: 'a [service] or [organisation.<name>] section',
    got: 'neither',
  };
}

function checkOneOrganisationsFile(paths: readonly string[]): FileFault[] {
  return paths.slice(1).map(path => ({
    path,
    line: 0,
    name: 'file',
    expected: `one organisations file (the first is ${paths[0]})`,
    got: 'a second one',
  }));
}
