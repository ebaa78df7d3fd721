/** Smaller parts are copied together; a part that is kept takes some 300 bytes besides its own. */
const MIN_PART_BYTES = 512;
/** Parts that are kept as they come; a usual body has fewer, and none of it is copied. */
const UNCOPIED_PARTS = 16;
/** Small parts that are copied together. */
const BLOCK_BYTES = 4096;

/** Collects the parts of a body that is read whole, in about as much memory as it has bytes, however small its parts are. */
export class BodyParts {
  private parts: Buffer[] = [];
  private block = Buffer.alloc(0);
  /** Bytes of the block that are among the parts already. */
  private keptBytes = 0;
  private usedBytes = 0;

  add(part: Buffer): void {
    const isKept =
      part.length >= MIN_PART_BYTES || this.parts.length < UNCOPIED_PARTS;
    if (isKept) {
      this.keepBlock();
      this.parts.push(part);
      return;
    }
    if (this.usedBytes + part.length > this.block.length) {
      this.keepBlock();
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      this.keptBytes = 0;
      this.usedBytes = 0;
    }
    this.usedBytes += part.copy(this.block, this.usedBytes);
  }

  /** Returns the whole body. */
  join(): Buffer {
    this.keepBlock();
    return Buffer.concat(this.parts);
  }

  /** Releases what was collected. */
  clear(): void {
    this.parts = [];
    this.block = Buffer.alloc(0);
    this.keptBytes = 0;
    this.usedBytes = 0;
  }

  private keepBlock(): void {
    if (this.usedBytes === this.keptBytes) return;
    this.parts.push(this.block.subarray(this.keptBytes, this.usedBytes));
    this.keptBytes = this.usedBytes;
  }
}
