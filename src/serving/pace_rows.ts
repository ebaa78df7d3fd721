import type {PaceReport} from '../core/serving/pace/types.js';
import type {VmId} from '../core/ids/index.js';
import {isAmount} from './is_amount.js';

/** VM id, start time of the engine, window, age of the evidence in ms, and whether it has recovered. */
type PaceRow = readonly [string, number, number, number, 0 | 1];

/** The rows of a datagram about targets that start slowly. */
interface PaceRows {
  readonly W?: readonly PaceRow[];
}

/** Encodes the paces of targets as rows, and decodes them; rows of another shape are left out. */
export const paceRows = {
  encode(reports: readonly PaceReport[] = []): PaceRows {
    if (reports.length === 0) return {};
    return {
      W: reports.map(
        one =>
          [
            one.vmId,
            one.bornAtMs,
            one.window,
            one.ageMs,
            one.hasRecovered ? 1 : 0,
          ] as const,
      ),
    };
  },

  decode({W}: PaceRows): {readonly paces?: readonly PaceReport[]} {
    if (!Array.isArray(W)) return {};
    const rows: readonly unknown[] = W;
    return {paces: rows.flatMap(row => toReport(row) ?? [])};
  },
};

function toReport(row: unknown): PaceReport | undefined {
  if (!Array.isArray(row)) return undefined;
  const [vmId, bornAtMs, window, ageMs, bit] = row as unknown[];
  if (typeof vmId !== 'string' || !isAmount(bornAtMs)) return undefined;
  if (!Number.isSafeInteger(window) || !isAmount(window)) return undefined;
  if (!isAmount(ageMs)) return undefined;
  const hasRecovered = bit === 1;
  return {vmId: vmId as VmId, bornAtMs, window, ageMs, hasRecovered};
}
