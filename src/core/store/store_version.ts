/** Revisions of one era, as a decimal so that both can be read off a log line: 3000000000530 is revision 530 of era 3. */
const REVISIONS_PER_ERA = 1e12;
/** More revisions than a copy of the store can lack. */
const TERMS_PER_ERA = 2 ** 20;
/** Keeps sums over all engines exact. */
const CHECKSUM_REVISIONS = 2 ** 30;
const CHECKSUM_ERA = 2 ** 20;
/** Beyond this a version is no exact number any more. */
const MAX_ERA = 9000;

/**
 * The place of a change of the store in the order of all changes: larger is
 * later.
 *
 * A store that came back from a copy counts its revisions from the copy on, and
 * gives them out again. Its era rises each time, so that a version is made of
 * both.
 */
export const storeVersion = {
  /** Undefined for an era that can't be told apart from others. */
  make(era: number, revision: number): number | undefined {
    const isSound = Number.isInteger(era) && era >= 0 && era <= MAX_ERA;
    return isSound ? era * REVISIONS_PER_ERA + revision : undefined;
  },

  eraOf: (version: number) => Math.floor(version / REVISIONS_PER_ERA),
  revisionOf: (version: number) => version % REVISIONS_PER_ERA,

  /** A number that rises with versions, and leaves room for the epochs of a steward. */
  termOf(version: number): number {
    const {eraOf, revisionOf} = storeVersion;
    return eraOf(version) * TERMS_PER_ERA + revisionOf(version);
  },

  /** A small number that differs where versions do, for sums. */
  checksumOf(version: number): number {
    const {eraOf, revisionOf} = storeVersion;
    const revision = revisionOf(version) % CHECKSUM_REVISIONS;
    return revision + eraOf(version) * CHECKSUM_ERA;
  },
};
