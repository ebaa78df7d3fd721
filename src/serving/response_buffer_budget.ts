const MIB = 1024 * 1024;
/** Maximum size of a buffered response; those of all services are far smaller. */
const MAX_RESPONSE_BYTES = 4 * MIB;
/** All buffered responses together: one sixteenth of the memory of the smallest nodes. */
const MAX_BUFFERED_BYTES = 12 * MIB;
/** Responses up to this size are buffered whatever the others take. */
const ALWAYS_BUFFERED_BYTES = MIB / 4;

interface BufferedResponse {
  /** Counts more bytes; false when the response must be dropped. */
  add(sizeBytes: number): boolean;
  /** Releases the bytes. */
  close(): void;
}

/** Bounds the memory of responses that are buffered before they are sent to the caller. */
export class ResponseBufferBudget {
  private totalBytes = 0;

  /** Starts one response, to be ended with `close`. */
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
