/** Revisions per era. A power of ten keeps both parts readable in log lines: 3000000000530 is revision 530 of era 3. */
const REVISIONS_PER_ERA = 1e12;
/** More than the number of revisions that a backup of the store can be missing. */
const TERMS_PER_ERA = 2 ** 20;
/** Keeps checksums small enough for their sum over all engines to be an exact integer. */
const CHECKSUM_REVISION_RANGE = 2 ** 30;
const CHECKSUM_ERA_FACTOR = 2 ** 20;
/** Versions of later eras are not exactly representable as a number. */
const MAX_ERA = 9000;

/**
 * Versions, which order all changes of the store: a larger version is later.
 *
 * A store that is restored from a backup continues counting at the backup's
 * revision and so assigns revisions a second time. Its era increases with each
 * restore; a version combines era and revision.
 */
export const storeVersion = {
  /** Returns undefined for an invalid era: versions would not be unique to it. */
  make(era: number, revision: number): number | undefined {
    const isValidEra = Number.isInteger(era) && era >= 0 && era <= MAX_ERA;
    return isValidEra ? era * REVISIONS_PER_ERA + revision : undefined;
  },

  eraOf: (version: number) => Math.floor(version / REVISIONS_PER_ERA),
  revisionOf: (version: number) => version % REVISIONS_PER_ERA,

  /** An integer that increases with versions and leaves room for the steward's epochs. */
  termOf(version: number): number {
    const {eraOf, revisionOf} = storeVersion;
    return eraOf(version) * TERMS_PER_ERA + revisionOf(version);
  },

  /** A small integer that differs between versions, for sums over many entries. */
  checksumOf(version: number): number {
    const {eraOf, revisionOf} = storeVersion;
    const revision = revisionOf(version) % CHECKSUM_REVISION_RANGE;
    return revision + eraOf(version) * CHECKSUM_ERA_FACTOR;
  },
};
