import {err, ok, type Result} from 'neverthrow';
import type {FileFault} from '../core/config/files/index.js';
import type {Settings} from './settings.js';
import type {z} from 'zod';
import {SETTINGS_SCHEMA} from './settings_schema.js';
import {
  checkSections,
  parseSection,
  readIni,
  sortFaults,
} from '../core/config/files/index.js';
import {resolveSecretFiles} from './resolve_secret_files.js';

type SectionName = keyof typeof SETTINGS_SCHEMA;
type Parsed<K extends SectionName> = z.output<(typeof SETTINGS_SCHEMA)[K]>;

const OPTIONAL_SECTIONS: readonly SectionName[] = ['limits', 'log', 'record'];

/**
 * Checks the text of a node's settings file and reports all its faults at once.
 * `readFile` reads the files named in [secrets]; it returns undefined for an
 * unreadable file.
 */
export function parseSettings(
  path: string,
  text: string,
  readFile: (path: string) => string | undefined,
): Result<Settings, FileFault[]> {
  const reading = readIni(path, text);
  const resolved = resolveSecretFiles(reading.document, readFile);
  const faults = [
    ...reading.faults,
    ...resolved.faults,
    ...checkSections(
      reading.document,
      name => name in SETTINGS_SCHEMA,
      Object.keys(SETTINGS_SCHEMA)
        .map(name => `[${name}]`)
        .join(', '),
    ),
  ];
  const parse = <K extends SectionName>(name: K): Parsed<K> | undefined => {
    const schema = SETTINGS_SCHEMA[name] as unknown as z.ZodType<Parsed<K>>;
    if (
      OPTIONAL_SECTIONS.includes(name) &&
      !resolved.document.sections.has(name)
    ) {
      return schema.parse({});
    }
    const parsed = parseSection(resolved.document, name, schema);
    if (parsed.isOk()) return parsed.value;
    faults.push(
      ...(name === 'secrets' ? hideValues(parsed.error) : parsed.error),
    );
    return undefined;
  };
  const node = parse('node');
  const platform = parse('platform');
  const limits = parse('limits');
  const secrets = parse('secrets');
  const log = parse('log');
  const record = parse('record');
  if (faults.length > 0) return err(sortFaults(dropDuplicates(faults)));
  return ok({
    node: createNodeSettings(node!),
    platform: platform!,
    limits: createLimits(limits!),
    secrets: secrets!,
    log: log!,
    record: record!,
  });
}

function createNodeSettings(node: Parsed<'node'>): Settings['node'] {
  const {name, zone, region, callerAddress, controlAddress, seedPeers} = node;
  const has = (role: (typeof node.roles)[number]) => node.roles.includes(role);
  return {
    nodeId: name,
    zone,
    region,
    callerAddress,
    controlAddress,
    seedPeers,
    roles: {
      entry: has('entry'),
      relay: has('relay'),
      observer: has('observer'),
      broker: has('broker'),
      steward: has('steward'),
    },
  };
}

function createLimits(limits: Parsed<'limits'>): Settings['limits'] {
  return {
    maxBodyBytes: limits.maxBody,
    maxHeaderBytes: limits.maxHeader,
    requestTimeoutMs: limits.requestTimeout,
    idleTimeoutMs: limits.idleTimeout,
    targetSilenceMs: limits.targetSilence,
  };
}

/** Hides the values in faults of [secrets]: even a rejected value may be a secret. */
function hideValues(faults: readonly FileFault[]): FileFault[] {
  return faults.map(fault => ({
    ...fault,
    got: fault.got === 'nothing' ? fault.got : 'another value (not shown)',
  }));
}

/**
 * Keeps the first fault of each line of [secrets]. An unreadable secret file
 * would otherwise also be reported as an invalid value of its key.
 */
function dropDuplicates(faults: readonly FileFault[]): FileFault[] {
  const seen = new Set<number>();
  return faults.filter(({line, name}) => {
    if (line === 0 || !name.startsWith('secrets.')) return true;
    const isFirst = !seen.has(line);
    seen.add(line);
    return isFirst;
  });
}
