import type {ColdReport} from '../core/serving/coldness/types.js';
import type {VmId} from '../core/ids/index.js';
import {isAmount} from './is_amount.js';

/** VM id, start time of the engine, and remaining cold time in ms. */
type ColdRow = readonly [string, number, number];

/** The rows of a datagram about cold engines. */
interface ColdRows {
  readonly C?: readonly ColdRow[];
}

/** Encodes cold engines as rows, and decodes them; rows of another shape are left out. */
export const coldRows = {
  encode(reports: readonly ColdReport[] = []): ColdRows {
    if (reports.length === 0) return {};
    return {
      C: reports.map(({vmId, bornAtMs, leftMs}) => [vmId, bornAtMs, leftMs]),
    };
  },

  decode({C}: ColdRows): {readonly coldEngines?: readonly ColdReport[]} {
    if (!Array.isArray(C)) return {};
    const rows: readonly unknown[] = C;
    const coldEngines = rows.flatMap(row => {
      if (!Array.isArray(row)) return [];
      const [vmId, bornAtMs, leftMs] = row as unknown[];
      return typeof vmId === 'string' && isAmount(bornAtMs) && isAmount(leftMs)
        ? [{vmId: vmId as VmId, bornAtMs, leftMs}]
        : [];
    });
    return {coldEngines};
  },
};
