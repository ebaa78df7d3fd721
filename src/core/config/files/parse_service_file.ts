import {err, ok, type Result} from 'neverthrow';
import type {FileFault} from './file_fault.js';
import type {IniDocument} from './ini_document.js';
import type {ServiceConfig} from '../service_config.js';
import type {z} from 'zod';
import {SERVICE_SCHEMA} from './service_schema.js';
import {checkSections} from './check_sections.js';
import {parseSection} from './parse_section.js';
import {readIni} from './read_ini.js';
import {sortFaults} from './sort_faults.js';

type ServicePart = z.output<(typeof SERVICE_SCHEMA)['service']>;
type ModelPart = z.output<(typeof SERVICE_SCHEMA)['model']>;

/** Checks the text of a service file and reports all its faults at once. */
export function parseServiceFile(
  path: string,
  text: string,
): Result<ServiceConfig, FileFault[]> {
  const {document, faults} = readIni(path, text);
  const sections = checkSections(
    document,
    name => name in SERVICE_SCHEMA,
    '[service], [model] or [application]',
  );
  const service = parseSection(document, 'service', SERVICE_SCHEMA.service);
  const kind = document.sections.get('service')?.entries.get('kind')?.value;
  const part =
    kind === 'application'
      ? parseApplication(document, service.unwrapOr(undefined))
      : parseModel(document, service.unwrapOr(undefined), kind);
  const faultsOfFile = [
    ...faults,
    ...sections,
    ...(service.isErr() ? service.error : []),
    ...(part.isErr() ? part.error : []),
  ];
  if (faultsOfFile.length > 0 || part.isErr())
    return err(sortFaults(faultsOfFile));
  return ok(part.value);
}

function parseApplication(
  document: IniDocument,
  service: ServicePart | undefined,
): Result<ServiceConfig, FileFault[]> {
  const misplaced = checkAbsent(document, 'model', 'application');
  const part = parseSection(
    document,
    'application',
    SERVICE_SCHEMA.application,
  );
  if (part.isErr()) return err([...misplaced, ...part.error]);
  if (misplaced.length > 0 || !service) return err(misplaced);
  return ok({...createCommon(service), kind: 'application', ...part.value});
}

function parseModel(
  document: IniDocument,
  service: ServicePart | undefined,
  kind: string | undefined,
): Result<ServiceConfig, FileFault[]> {
  // Without a valid kind, only sections that are present are checked.
  const misplaced =
    kind === 'model' ? checkAbsent(document, 'application', 'model') : [];
  if (kind !== 'model' && !document.sections.has('model')) return err([]);
  const part = parseSection(document, 'model', SERVICE_SCHEMA.model);
  const faults = [...misplaced, ...checkMinServing(document)];
  if (part.isErr()) return err([...faults, ...part.error]);
  if (faults.length > 0 || !service) return err(faults);
  const minServing = part.value.minServing ?? defaultMinServing(part.value);
  return ok({
    ...createCommon(service),
    kind: 'model',
    ...part.value,
    minServing,
  });
}

function createCommon(service: ServicePart) {
  const {name, organisations, unrepeatable, maxQueue, priority} = service;
  return {
    name,
    organisations,
    unrepeatable,
    timeoutMs: service.timeout,
    onceRetentionMs: service.onceRetention,
    maxQueue,
    priority,
  };
}

function defaultMinServing(part: ModelPart): number {
  return Math.max(0, part.replicas - 1);
}

/** Compares the unparsed texts, so that other faults of the section do not hide this one. */
function checkMinServing(document: IniDocument): FileFault[] {
  const entries = document.sections.get('model')?.entries;
  const entry = entries?.get('minServing');
  const replicas = entries?.get('replicas')?.value;
  if (!entry || !isWholeNumber(entry.value) || !isWholeNumber(replicas))
    return [];
  if (Number(entry.value) <= Number(replicas)) return [];
  return [
    {
      path: document.path,
      line: entry.line,
      name: 'model.minServing',
      expected: `no more than model.replicas (${replicas})`,
      got: `"${entry.value}"`,
    },
  ];
}

function isWholeNumber(text: string | undefined): text is string {
  return text !== undefined && /^\d+$/.test(text);
}

function checkAbsent(
  document: IniDocument,
  section: string,
  kind: string,
): FileFault[] {
  const present = document.sections.get(section);
  if (!present) return [];
  return [
    {
      path: document.path,
      line: present.line,
      name: section,
      expected: `no such section in a service of kind ${kind}`,
      got: `[${section}]`,
    },
  ];
}
