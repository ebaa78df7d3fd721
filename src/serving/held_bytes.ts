const MIB = 1024 * 1024;
/** Maximum size of a buffered response; the responses of all services are far smaller. */
const MAX_RESPONSE_BYTES = 4 * MIB;
/** Maximum of all buffered responses together: one sixteenth of the memory of the smallest nodes. */
const MAX_BUFFERED_BYTES = 12 * MIB;
/** Responses up to this size are buffered whatever the others take. */
const ALWAYS_BUFFERED_BYTES = MIB / 4;

interface BufferedResponse {
  /** Reserves memory for more bytes; returns false when the response exceeds the limits and must be dropped. */
  add(sizeBytes: number): boolean;
  /** Releases the memory of the response. */
  close(): void;
}

/** Bounds the memory of responses that are buffered completely before they are sent to the caller. */
export class HeldBytes {
  private totalBytes = 0;

  /** Starts the accounting of one response; close it in every case. */
  open(): BufferedResponse {
    let sizeBytes = 0;
    return {
      add: moreBytes => {
        sizeBytes += moreBytes;
        this.totalBytes += moreBytes;
        if (sizeBytes <= ALWAYS_BUFFERED_BYTES) return true;
        return (
          sizeBytes <= MAX_RESPONSE_BYTES &&
          this.totalBytes <= MAX_BUFFERED_BYTES
        );
      },
      close: () => {
        this.totalBytes -= sizeBytes;
        sizeBytes = 0;
      },
    };
  }
}
