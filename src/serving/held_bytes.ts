const MIB = 1024 * 1024;
/** A whole answer over this is not kept in memory; none of the services comes near. */
const MAX_ANSWER_BYTES = 4 * MIB;
/** All answers that are kept at one time: a sixteenth of the memory of the smallest nodes. */
const MAX_HELD_BYTES = 12 * MIB;
/** An answer below this is kept however much others take. */
const SMALL_ANSWER_BYTES = MIB / 4;

interface HeldAnswer {
  /** Counts more bytes; false when the answer must not be kept on. */
  add(sizeBytes: number): boolean;
  close(): void;
}

/** Bounds the memory of answers that are read whole before the caller gets them. */
export class HeldBytes {
  private totalBytes = 0;

  open(): HeldAnswer {
    let sizeBytes = 0;
    return {
      add: moreBytes => {
        sizeBytes += moreBytes;
        this.totalBytes += moreBytes;
        if (sizeBytes <= SMALL_ANSWER_BYTES) return true;
        return (
          sizeBytes <= MAX_ANSWER_BYTES && this.totalBytes <= MAX_HELD_BYTES
        );
      },
      close: () => {
        this.totalBytes -= sizeBytes;
        sizeBytes = 0;
      },
    };
  }
}
