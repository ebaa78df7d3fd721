const GAP = '  ';

/** Aligns rows under a heading. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const all = [heading, ...rows].map(row => row.map(String));
  const widths = heading.map((_, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  const lines = all.map(row =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join(GAP),
  );
  return lines.map(line => line.trimEnd()).join('\n');
}
