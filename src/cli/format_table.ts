const COLUMN_GAP = '  ';

/** Formats rows as a table with left-aligned columns. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const all = [heading, ...rows].map(row => row.map(String));
  const widths = heading.map((_, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  const lines = all.map(row =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join(COLUMN_GAP),
  );
  return lines.map(line => line.trimEnd()).join('\n');
}
