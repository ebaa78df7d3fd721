interface TextChange {
  readonly before?: string;
  readonly after?: string;
}

const COMMENT = /^\s*([;#].*)?$/;

/** Returns the lines that a change removed from a file and added; a new or removed file is given in full. */
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
  const current = readLines(after);
  return {
    before: join(subtract(old, current)),
    after: join(subtract(current, old)),
  };
}

/** Lines without blank ones and comments. */
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
