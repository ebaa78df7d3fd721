import {write} from 'node:fs';

/** Maximum of buffered lines; further lines are dropped, since the reader is slower than the node logs. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/**
 * Writes lines to a file descriptor without blocking the event loop.
 *
 * Node.js streams write to pipes synchronously, so a reader that stops reading
 * would block the node. This writer has one asynchronous write in progress at
 * a time, and the buffer behind it is bounded.
 */
export class BoundedWriter {
  private buffered: string[] = [];
  private bufferedBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private idle: (() => void)[] = [];

  constructor(private readonly descriptor: number) {}

  /** Returns the count of lines dropped since the last call, and resets it. */
  takeDropped(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }

  writeLine(line: string): void {
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      this.dropped += 1;
      return;
    }
    this.buffered.push(line);
    this.bufferedBytes += line.length + 1;
    if (!this.isWriting) this.writeNext();
  }

  /** Settles when all buffered lines are written. */
  flush(): Promise<void> {
    if (!this.isWriting) return Promise.resolve();
    return new Promise(resolve => this.idle.push(resolve));
  }

  private writeNext(): void {
    if (this.buffered.length === 0) {
      this.isWriting = false;
      for (const resolve of this.idle.splice(0)) resolve();
      return;
    }
    this.isWriting = true;
    const bytes = Buffer.from(this.buffered.join('\n') + '\n');
    this.buffered = [];
    this.bufferedBytes = 0;
    this.writeBytes(bytes, 0);
  }

  private writeBytes(bytes: Buffer, from: number): void {
    write(this.descriptor, bytes, from, (error, written) => {
      if (error && error.code !== 'EAGAIN') {
        this.dropped += 1; // the reader has exited, and there is no other place to report it
        this.writeNext();
        return;
      }
      const next = from + (error ? 0 : written);
      if (next < bytes.length) this.writeBytes(bytes, next);
      else this.writeNext();
    });
  }
}
