import {runInNewContext} from 'node:vm';
import {setFlagsFromString} from 'node:v8';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

interface MemoryBytes {
  readonly residentBytes: number;
  /** Objects and buffers that can be reached. */
  readonly reachableBytes: number;
}

/**
 * Measures the peak growth of memory with garbage collected in each turn of the
 * event loop: what the process holds at any time. When V8 collects garbage by
 * itself depends on the size of its heap and on other load.
 */
export class HeldMemory {
  private readonly before: MemoryBytes;
  private peakBytes = 0;
  private next: NodeJS.Immediate;

  constructor() {
    collectGarbage(); // buffers that this one finds are freed by the next
    this.before = this.read();
    this.next = setImmediate(() => this.measure());
  }

  /** Ends the measurement; returns the largest growth of resident or of reachable memory. */
  stop(): number {
    this.measure();
    clearImmediate(this.next);
    return this.peakBytes;
  }

  private measure(): void {
    clearImmediate(this.next);
    const {residentBytes, reachableBytes} = this.read();
    this.peakBytes = Math.max(
      this.peakBytes,
      residentBytes - this.before.residentBytes,
      reachableBytes - this.before.reachableBytes,
    );
    this.next = setImmediate(() => this.measure());
  }

  private read(): MemoryBytes {
    collectGarbage();
    const {rss, heapUsed, external} = process.memoryUsage();
    return {residentBytes: rss, reachableBytes: heapUsed + external};
  }
}
