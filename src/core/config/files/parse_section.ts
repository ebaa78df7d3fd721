import {err, ok, type Result} from 'neverthrow';
import type {FileFault} from './file_fault.js';
import type {IniDocument} from './ini_document.js';
import type {z} from 'zod';

type Section = NonNullable<ReturnType<IniDocument['sections']['get']>>;
type Issue = z.core.$ZodIssue;

/** Validates one section with a zod schema; every fault has the line of its key or section. */
export function parseSection<T>(
  document: IniDocument,
  name: string,
  schema: z.ZodType<T>,
): Result<T, FileFault[]> {
  const section = document.sections.get(name);
  if (!section) return err([missingSection(document.path, name)]);
  const values = Object.fromEntries(
    [...section.entries].map(([key, entry]) => [key, entry.value]),
  );
  const parsed = schema.safeParse(values);
  if (parsed.success) return ok(parsed.data);
  const faults = parsed.error.issues.flatMap(issue =>
    describeIssue(document.path, section, issue),
  );
  return err(faults);
}

function missingSection(path: string, name: string): FileFault {
  return {path, line: 0, name, expected: `a section [${name}]`, got: 'none'};
}

function describeIssue(
  path: string,
  section: Section,
  issue: Issue,
): FileFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      path,
      line: section.entries.get(key)?.line ?? section.line,
      name: `${section.name}.${key}`,
      expected: 'a known key',
      got: `"${key}"`,
    }));
  }
  const key = String(issue.path[0] ?? '');
  const entry = section.entries.get(key);
  return [
    {
      path,
      line: entry?.line ?? section.line,
      name: key ? `${section.name}.${key}` : section.name,
      expected: issue.message,
      got: entry ? `"${entry.value}"` : 'nothing',
    },
  ];
}
