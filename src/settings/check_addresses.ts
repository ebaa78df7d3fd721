import type {FileFault, IniDocument} from '../core/config/files/index.js';

const UNIQUE_KEYS = ['name', 'callerAddress', 'controlAddress'] as const;

/** Reports names and addresses that two settings files use, or that one file uses twice. */
export function checkAddresses(documents: readonly IniDocument[]): FileFault[] {
  const owners = new Map<string, string>();
  const faults: FileFault[] = [];
  for (const {path, sections} of documents) {
    const entries = sections.get('node')?.entries;
    for (const key of UNIQUE_KEYS) {
      const entry = entries?.get(key);
      if (!entry) continue;
      const what = key === 'name' ? 'name' : 'address';
      const owner = owners.get(`${what} ${entry.value}`);
      const place = `${path}:${entry.line}`;
      if (owner === undefined) owners.set(`${what} ${entry.value}`, place);
      else
        faults.push(
          createFault(
            path,
            entry,
            key,
            `${what === 'name' ? 'a' : 'an'} ${what} of its own (${owner} has it)`,
          ),
        );
    }
  }
  return faults;
}

function createFault(
  path: string,
  entry: {readonly value: string; readonly line: number},
  key: string,
  expected: string,
): FileFault {
  return {
    path,
    line: entry.line,
    name: `node.${key}`,
    expected,
    got: `"${entry.value}"`,
  };
}
