import {write} from 'node:fs';

/** Lines that wait beyond this are dropped: the reader is slower than the node logs. */
const MAX_WAITING_BYTES = 256 * 1024;

/**
 * Writes lines to a file descriptor without ever blocking the loop.
 *
 * Writes to a pipe through a stream of Node.js are synchronous; a reader that
 * stands still would stop the node. Here one asynchronous write is under way
 * at a time, and what waits behind it is bounded.
 */
export class BoundedWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private idle: (() => void)[] = [];

  constructor(private readonly descriptor: number) {}

  /** Lines that were dropped since the last call. */
  takeDropped(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }

  writeLine(line: string): void {
    if (this.waitingBytes > MAX_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length + 1;
    if (!this.isWriting) this.writeNext();
  }

  /** Settles when all that waits is written. */
  flush(): Promise<void> {
    if (!this.isWriting) return Promise.resolve();
    return new Promise(resolve => this.idle.push(resolve));
  }

  private writeNext(): void {
    if (this.waiting.length === 0) {
      this.isWriting = false;
      for (const resolve of this.idle.splice(0)) resolve();
      return;
    }
    this.isWriting = true;
    const bytes = Buffer.from(this.waiting.join('\n') + '\n');
    this.waiting = [];
    this.waitingBytes = 0;
    this.writeBytes(bytes, 0);
  }

  private writeBytes(bytes: Buffer, from: number): void {
    write(this.descriptor, bytes, from, (error, written) => {
      if (error && error.code !== 'EAGAIN') {
        this.dropped += 1; // nobody reads any more, and there is no other place to say so
        this.writeNext();
        return;
      }
      const next = from + (error ? 0 : written);
      if (next < bytes.length) this.writeBytes(bytes, next);
      else this.writeNext();
    });
  }
}
