import type {FileFault, IniDocument} from '../core/config/files/index.js';

type Section = NonNullable<ReturnType<IniDocument['sections']['get']>>;
type ReadFile = (path: string) => string | undefined;

interface ResolvedSecrets {
  readonly document: IniDocument;
  readonly faults: readonly FileFault[];
}

const SUFFIX = 'File';

/** Replaces `<key>File = path` in [secrets] by `<key>` with the text of that file. */
export function resolveSecretFiles(
  document: IniDocument,
  readFile: ReadFile,
): ResolvedSecrets {
  const section = document.sections.get('secrets');
  if (!section) return {document, faults: []};
  const faults: FileFault[] = [];
  const entries = new Map<string, {value: string; line: number}>();
  for (const [key, entry] of section.entries) {
    if (!key.endsWith(SUFFIX)) {
      entries.set(key, entry);
      continue;
    }
    const name = key.slice(0, -SUFFIX.length);
    const fault = checkFileKey(document.path, section, key, readFile);
    if (fault) faults.push(fault);
    const value = readFile(entry.value)?.trim();
    // Unreadable: the fault above is enough, so the key itself is not missed.
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
  const plain = key.slice(0, -SUFFIX.length);
  if (section.entries.has(plain)) {
    const expected = `either ${plain} or ${key}`;
    return {path, line, name, expected, got: 'both'};
  }
  if (readFile(value) !== undefined) return undefined;
  return {path, line, name, expected: 'a readable file', got: `"${value}"`};
}
