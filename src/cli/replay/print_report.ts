import type {Outcome, ScenarioReport} from '../../replay/scenarios/index.js';

/** Formats a report as text: the tables, then each expected outcome. */
export function printReport(
  report: ScenarioReport,
  outcomes: readonly Outcome[],
): string {
  const lines: string[] = [];
  for (const table of report.tables) {
    lines.push(table.title, ...formatTable(table.columns, table.rows), '');
  }
  for (const outcome of outcomes) {
    lines.push(formatOutcome(outcome));
  }
  return lines.join('\n') + '\n';
}

function formatTable(
  columns: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string[] {
  const texts = [columns, ...rows].map(row => row.map(String));
  const widths = columns.map((_, column) =>
    Math.max(...texts.map(row => row[column]?.length ?? 0)),
  );
  return texts.map(row =>
    row
      .map((cell, column) =>
        column === 0
          ? cell.padEnd(widths[column]!)
          : cell.padStart(widths[column]!),
      )
      .join('  ')
      .trimEnd(),
  );
}

function formatOutcome({name, bound, measured, isMet}: Outcome): string {
  const parts: string[] = [];
  if (bound.min !== undefined) parts.push(`at least ${bound.min}`);
  if (bound.max !== undefined) parts.push(`at most ${bound.max}`);
  const verdict = isMet ? 'met' : 'NOT MET';
  return `${verdict}: ${name} ${measured ?? 'not measured'} (${parts.join(', ')})`;
}
