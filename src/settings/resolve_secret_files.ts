import type {FileFault, IniDocument} from '../core/config/files/index.js';

type Section = NonNullable<ReturnType<IniDocument['sections']['get']>>;
type ReadFile = (path: string) => string | undefined;

interface ResolvedSecrets {
  readonly document: IniDocument;
  readonly faults: readonly FileFault[];
}

const FILE_SUFFIX = 'File';

/** Replaces `<key>File = path` in [secrets] by `<key>` with the trimmed content of that file. */
export function resolveSecretFiles(
  document: IniDocument,
  readFile: ReadFile,
): ResolvedSecrets {
  const section = document.sections.get('secrets');
  if (!section) return {document, faults: []};
  const faults: FileFault[] = [];
  const entries = new Map<string, {value: string; line: number}>();
  for (const [key, entry] of section.entries) {
    if (!key.endsWith(FILE_SUFFIX)) {
      entries.set(key, entry);
      continue;
    }
    const name = key.slice(0, -FILE_SUFFIX.length);
    const fault = checkFileKey(document.path, section, key, readFile);
    if (fault) faults.push(fault);
    const value = readFile(entry.value)?.trim();
    // An unreadable file gives an empty value, so that the key is not also reported as missing.
    entries.set(name, {value: value ?? '', line: entry.line});
  }
  const sections = new Map(document.sections);
  sections.set('secrets', {...section, entries});
  return {document: {...document, sections}, faults};
}

function checkFileKey(
  path: string,
  section: Section,
  key: string,
  readFile: ReadFile,
): FileFault | undefined {
  const {line, value} = section.entries.get(key)!;
  const name = `secrets.${key}`;
  const plain = key.slice(0, -FILE_SUFFIX.length);
  if (section.entries.has(plain)) {
    const expected = `either ${plain} or ${key}`;
    return {path, line, name, expected, got: 'both'};
  }
  if (readFile(value) !== undefined) return undefined;
  return {path, line, name, expected: 'a readable file', got: `"${value}"`};
}
