import {build, type Histogram} from 'hdr-histogram-js';
import type {DemoOutcome} from './demo_outcome.js';
import {formatTable} from '../../cli/format_table.js';

type Kind = DemoOutcome['kind'];

interface Row {
  sent: number;
  whole: number;
  lookedUp: number;
  notRun: number;
  mayHaveRun: number;
  lost: number;
  wrong: number;
  readonly firstTokenMs: Histogram;
}

const KINDS: readonly Kind[] = ['short', 'long', 'order'];
const COLUMNS = [
  'KIND',
  'SENT',
  'ANSWERED WHOLE',
  'OF THESE LOOKED UP',
  'REFUSED NOT-RUN',
  'MAY-HAVE-RUN',
  'LOST',
  'WRONG',
  'FIRST TOKEN P50 MS',
  'P95 MS',
];

/** Counts of demo requests and their outcomes, by kind of request. */
export class DemoTally {
  private readonly rows = new Map<Kind, Row>(
    KINDS.map(kind => [kind, createRow()]),
  );

  noteSent(kind: Kind): void {
    this.rows.get(kind)!.sent += 1;
  }

  noteOutcome(outcome: DemoOutcome): void {
    const row = this.rows.get(outcome.kind)!;
    row[outcome.end] += 1;
    row.notRun += outcome.notRun;
    row.mayHaveRun += outcome.mayHaveRun;
    if (outcome.lookedUp) row.lookedUp += 1;
    const {firstTokenMs} = outcome;
    if (firstTokenMs !== undefined) row.firstTokenMs.recordValue(firstTokenMs);
  }

  /** Sum of one column. */
  total(column: 'sent' | 'whole' | 'lost' | 'wrong'): number {
    return [...this.rows.values()].reduce((sum, row) => sum + row[column], 0);
  }

  format(): string {
    const rows = KINDS.map(kind => {
      const row = this.rows.get(kind)!;
      return [
        kind,
        row.sent,
        row.whole,
        kind === 'order' ? row.lookedUp : '-',
        row.notRun,
        row.mayHaveRun,
        row.lost,
        row.wrong,
        formatPercentile(row.firstTokenMs, 50),
        formatPercentile(row.firstTokenMs, 95),
      ];
    });
    return formatTable(COLUMNS, rows);
  }
}

function createRow(): Row {
  return {
    sent: 0,
    whole: 0,
    lookedUp: 0,
    notRun: 0,
    mayHaveRun: 0,
    lost: 0,
    wrong: 0,
    firstTokenMs: build(),
  };
}

function formatPercentile(histogram: Histogram, percentile: number): string {
  if (histogram.totalCount === 0) return '-';
  return String(histogram.getValueAtPercentile(percentile));
}
