import type {LimitReport} from '../core/serving/rate_limits/types.js';
import type {VmId} from '../core/ids/index.js';
import {isAmount} from './is_amount.js';

/** VM id, start time of the engine, age in ms, and requests per second; without the last: the limit has ended. */
type LimitRow = readonly [string, number, number, number?];

/** The rows of a datagram about limits of engines. */
interface LimitRows {
  readonly L?: readonly LimitRow[];
}

/** Encodes limits of engines as rows, and decodes them; rows of another shape are left out. */
export const limitRows = {
  encode(limits: readonly LimitReport[]): LimitRows {
    if (limits.length === 0) return {};
    return {
      L: limits.map(({vmId, bornAtMs, ageMs, perS}) =>
        perS === undefined
          ? ([vmId, bornAtMs, ageMs] as const)
          : ([vmId, bornAtMs, ageMs, perS] as const),
      ),
    };
  },

  decode({L}: LimitRows): LimitReport[] {
    const rows: readonly unknown[] = Array.isArray(L) ? L : [];
    return rows.flatMap(row => toReport(row) ?? []);
  },
};

function toReport(row: unknown): LimitReport | undefined {
  if (!Array.isArray(row)) return undefined;
  const [vmId, bornAtMs, ageMs, perS] = row as unknown[];
  if (typeof vmId !== 'string' || !isAmount(bornAtMs) || !isAmount(ageMs)) {
    return undefined;
  }
  if (perS === undefined) return {vmId: vmId as VmId, bornAtMs, ageMs};
  return isAmount(perS)
    ? {vmId: vmId as VmId, bornAtMs, ageMs, perS}
    : undefined;
}
