import type {NodeId, ServiceName} from '../core/ids/index.js';
import type {
  PredecessorEntry,
  RetryCount,
} from '../core/serving/retries/types.js';
import {isAmount} from './is_amount.js';

/** Service and retries. */
type RetryRow = readonly [string, number];
/** Node id, incarnation of the current process, age in ms, and the retries of the replaced one. */
type PredecessorRow = readonly [string, number, number, readonly RetryRow[]];

/** The rows of a datagram about retries. */
interface RetryRows {
  /** Retries of the sender; absent if unknown. */
  readonly R?: readonly RetryRow[];
  /** Replaced processes of other nodes. */
  readonly P?: readonly PredecessorRow[];
}

interface RetryFields {
  readonly retries?: readonly RetryCount[];
  readonly predecessors: readonly PredecessorEntry[];
}

/** Encodes the fields of a digest about retries as rows, and decodes them; rows of another shape are left out. */
export const retryRows = {
  encode({retries, predecessors}: RetryFields): RetryRows {
    return {
      ...(retries && {R: retries.map(toRow)}),
      ...(predecessors.length > 0 && {
        P: predecessors.map(
          one =>
            [
              one.nodeId,
              one.successor,
              one.ageMs,
              one.retries.map(toRow),
            ] as const,
        ),
      }),
    };
  },

  decode({R, P}: RetryRows): RetryFields {
    const retries = toCounts(R);
    const rows: readonly unknown[] = Array.isArray(P) ? P : [];
    return {
      ...(retries && {retries}),
      predecessors: rows.flatMap(row => toPredecessor(row) ?? []),
    };
  },
};

function toRow({service, count}: RetryCount): RetryRow {
  return [service, count];
}

/** Returns undefined if any count is missing, since fewer retries than were made would be taken for all. */
function toCounts(rows: unknown): RetryCount[] | undefined {
  if (!Array.isArray(rows)) return undefined;
  const counts: RetryCount[] = [];
  for (const row of rows as unknown[]) {
    if (!Array.isArray(row)) return undefined;
    const [service, count] = row as unknown[];
    if (typeof service !== 'string' || !isAmount(count)) return undefined;
    counts.push({service: service as ServiceName, count});
  }
  return counts;
}

function toPredecessor(row: unknown): PredecessorEntry | undefined {
  if (!Array.isArray(row)) return undefined;
  const [nodeId, successor, ageMs, rows] = row as unknown[];
  const retries = toCounts(rows);
  if (typeof nodeId !== 'string' || !retries) return undefined;
  if (!isAmount(successor) || !isAmount(ageMs)) return undefined;
  return {nodeId: nodeId as NodeId, successor, ageMs, retries};
}
