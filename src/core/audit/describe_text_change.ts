interface TextChange {
  readonly before?: string;
  readonly after?: string;
}

const COMMENT = /^\s*([;#].*)?$/;

/** The lines that a change took out of a file and put in; a new or removed file is given whole. */
export function describeTextChange(
  before: string | undefined,
  after: string | undefined,
): TextChange {
  if (before === undefined || after === undefined) {
    return {
      ...(before !== undefined && {before: join(readLines(before))}),
      ...(after !== undefined && {after: join(readLines(after))}),
    };
  }
  const old = readLines(before);
  const fresh = readLines(after);
  return {
    before: join(subtract(old, fresh)),
    after: join(subtract(fresh, old)),
  };
}

/** Lines that say something, without comments. */
function readLines(text: string): string[] {
  return text
    .split('\n')
    .map(line => line.trim())
    .filter(line => !COMMENT.test(line));
}

function subtract(lines: readonly string[], others: readonly string[]) {
  const left = new Set(others);
  return lines.filter(line => !left.has(line));
}

function join(lines: readonly string[]): string {
  return lines.join('; ');
}
