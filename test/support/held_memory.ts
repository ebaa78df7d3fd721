import {runInNewContext} from 'node:vm';
import {setFlagsFromString} from 'node:v8';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Garbage is collected once there may be this much; a twentieth of the bounds of the tests, for which collecting in each turn of the event loop would be too slow. */
const STEP_BYTES = 1024 * 1024;

interface MemoryBytes {
  readonly residentBytes: number;
  /** Objects and buffers that can be reached. */
  readonly reachableBytes: number;
}

/**
 * Measures the peak growth of memory with garbage collected whenever the
 * process has some more: what the process holds at any time. When V8 collects garbage by
 * itself depends on the size of its heap and on other load.
 */
export class HeldMemory {
  private readonly before: MemoryBytes;
  private collectAtBytes: number;
  private peakBytes = 0;
  private next: NodeJS.Immediate;

  constructor() {
    collectGarbage(); // buffers that this one finds are freed by the next
    this.before = this.read();
    this.collectAtBytes = this.before.reachableBytes + STEP_BYTES;
    this.next = setImmediate(() => this.watch());
  }

  /** Ends the measurement; returns the largest growth of resident or of reachable memory. */
  stop(): number {
    this.measure();
    clearImmediate(this.next);
    return this.peakBytes;
  }

  private watch(): void {
    this.next = setImmediate(() => this.watch());
    const {heapUsed, external} = process.memoryUsage();
    if (heapUsed + external > this.collectAtBytes) this.measure();
  }

  private measure(): void {
    const {residentBytes, reachableBytes} = this.read();
    this.collectAtBytes = reachableBytes + STEP_BYTES;
    this.peakBytes = Math.max(
      this.peakBytes,
      residentBytes - this.before.residentBytes,
      reachableBytes - this.before.reachableBytes,
    );
  }

  private read(): MemoryBytes {
    collectGarbage();
    const {rss, heapUsed, external} = process.memoryUsage();
    return {residentBytes: rss, reachableBytes: heapUsed + external};
  }
}
