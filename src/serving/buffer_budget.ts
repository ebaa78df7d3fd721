/** Limits of a budget, in bytes. */
interface BufferLimits {
  /** The largest item. */
  readonly itemBytes: number;
  /** All items together. */
  readonly totalBytes: number;
  /** Items up to this size may use the reserve. */
  readonly smallBytes: number;
  /** What small items may take besides the total. */
  readonly reserveBytes: number;
}

interface BufferedItem {
  /** Counts more bytes; false when the item must be dropped. */
  add(sizeBytes: number): boolean;
  /** Releases the bytes. */
  close(): void;
}

/** Bounds the memory of what a node buffers, such as the bodies of responses. */
export class BufferBudget {
  private usedBytes = 0;

  constructor(private readonly limits: BufferLimits) {}

  /** Starts one item, to be ended with `close`. */
  open(): BufferedItem {
    const {itemBytes, totalBytes, smallBytes, reserveBytes} = this.limits;
    let sizeBytes = 0;
    return {
      add: moreBytes => {
        sizeBytes += moreBytes;
        this.usedBytes += moreBytes;
        const isSmall = sizeBytes <= smallBytes;
        const limitBytes = totalBytes + (isSmall ? reserveBytes : 0);
        return sizeBytes <= itemBytes && this.usedBytes <= limitBytes;
      },
      close: () => {
        this.usedBytes -= sizeBytes;
        sizeBytes = 0;
      },
    };
  }
}
