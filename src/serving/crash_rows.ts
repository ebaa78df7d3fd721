import type {Fingerprint, PromptPartId, VmId} from '../core/ids/index.js';
import type {LoadDigest} from '../core/serving/types.js';
import type {CrashReportEntry} from '../core/serving/crashes/types.js';
import {isRows} from './is_rows.js';
import {toCount} from './to_count.js';

/** VM id, start time, age in ms, for each request its fingerprint followed by the parts of its prompt, and the pool. */
type CrashRow = readonly [
  string,
  number,
  number,
  readonly (readonly string[])[],
  string,
];

/** The rows of a datagram about engines that requests crash. */
interface CrashRows {
  /** Suspects of crashes: marker, losses, remaining time in ms, age of the last loss in ms, and whether it is a prompt part. */
  readonly s: readonly (readonly [string, number, number, number, 0 | 1])[];
  /** Crashes of engines. */
  readonly f?: readonly CrashRow[];
  /** Markers of runs that did not crash, with the age in ms. */
  readonly i?: readonly (readonly [string, number])[];
}

type CrashFields = Pick<LoadDigest, 'suspects' | 'crashReports' | 'survivals'>;

/** Encodes the fields of a digest about crashes as rows, and decodes them; undefined for rows of another shape. */
export const crashRows = {
  encode({suspects, crashReports, survivals}: CrashFields): CrashRows {
    return {
      s: suspects.map(one => [
        one.marker,
        one.losses,
        one.leftMs,
        one.lastLossAgeMs,
        one.kind === 'part' ? 1 : 0,
      ]),
      ...(crashReports.length > 0 && {f: crashReports.map(toCrashRow)}),
      ...(survivals.length > 0 && {
        i: survivals.map(({marker, ageMs}) => [marker, ageMs] as const),
      }),
    };
  },

  decode({s, f = [], i = []}: CrashRows): CrashFields | undefined {
    if (![s, f, i].every(isRows)) return undefined;
    return {
      suspects: s.map(row => ({
        marker: row[0] as Fingerprint,
        losses: toCount(row[1]),
        leftMs: toCount(row[2]),
        lastLossAgeMs: toCount(row[3]),
        kind: row[4] === 1 ? ('part' as const) : ('request' as const),
      })),
      crashReports: f.map(toCrashReport),
      survivals: i.map(row => ({
        marker: String(row[0]) as Fingerprint,
        ageMs: toCount(row[1]),
      })),
    };
  },
};

function toCrashRow(report: CrashReportEntry): CrashRow {
  const {vmId, bornAtMs, pool, ageMs, runs} = report;
  return [
    vmId,
    bornAtMs,
    ageMs,
    runs.map(({fingerprint, sharedPartIds}) => [fingerprint, ...sharedPartIds]),
    pool,
  ];
}

function toCrashReport(row: CrashRow): CrashReportEntry {
  const runs = isRows(row[3]) ? row[3] : [];
  return {
    vmId: row[0] as VmId,
    bornAtMs: Number(row[1]),
    ageMs: toCount(row[2]),
    pool: String(row[4]),
    runs: runs.map(([fingerprint, ...partIds]) => ({
      fingerprint: String(fingerprint) as Fingerprint,
      sharedPartIds: partIds.map(partId => String(partId) as PromptPartId),
    })),
  };
}
