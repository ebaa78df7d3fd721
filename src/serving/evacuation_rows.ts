import type {EvacuationReport} from '../core/serving/evacuation/types.js';
import type {ZoneId} from '../core/ids/index.js';
import {isAmount} from './is_amount.js';

/** Store version, age of its proof in ms (-1: none), evacuated zones, and those that are kept while a restored store settles. */
type EvacuationRow = readonly [
  number,
  number,
  readonly string[],
  (readonly string[])?,
];

/** The row of a datagram about evacuations. */
interface EvacuationRows {
  /** Absent if the sender does not know the evacuations. */
  readonly V?: EvacuationRow;
}

/** Encodes the evacuations in a digest as a row, and decodes it; a row of another shape is left out. */
export const evacuationRows = {
  encode(report: EvacuationReport | undefined): EvacuationRows {
    if (!report) return {};
    const {storeVersion, proofAgeMs, zones, keptZones} = report;
    const row = [storeVersion, proofAgeMs, zones] as const;
    return {V: keptZones.length > 0 ? [...row, keptZones] : row};
  },

  decode({V}: EvacuationRows): {readonly evacuation?: EvacuationReport} {
    const row: unknown = V;
    if (!Array.isArray(row)) return {};
    const [storeVersion, proofAgeMs, zones, keptZones = []] = row as unknown[];
    if (!isAmount(storeVersion) || !Number.isSafeInteger(storeVersion)) {
      return {};
    }
    if (proofAgeMs !== -1 && !isAmount(proofAgeMs)) return {};
    if (!isZones(zones) || !isZones(keptZones)) return {};
    return {evacuation: {storeVersion, proofAgeMs, zones, keptZones}};
  },
};

function isZones(value: unknown): value is ZoneId[] {
  return Array.isArray(value) && value.every(one => typeof one === 'string');
}
