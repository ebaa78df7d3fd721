import type {VmId} from '../../core/ids/index.js';

const MS_PER_S = 1000;

interface ColdnessOptions {
  /** How long a head is cold after it opens under load; 0: engines are never cold. */
  readonly coldMs: number;
  /** Requests in a sliding second above which a cold engine crashes. */
  readonly boundPerS: number;
  readonly nowMs: () => number;
  crash(vmId: VmId): void;
}

/** Simulated engines that tolerate few requests after a start. */
export class SimulatedColdness {
  /** Most requests that reached each cold engine in a second. */
  readonly busiest = new Map<VmId, number>();
  crashCount = 0;
  private readonly untilMs = new Map<VmId, number>();
  private readonly arrivalsMs = new Map<VmId, number[]>();

  constructor(private readonly options: ColdnessOptions) {}

  get coldMs(): number {
    return this.options.coldMs;
  }

  /** Makes an engine cold for `forMs`. */
  start(vmId: VmId, forMs: number): void {
    this.untilMs.set(vmId, this.options.nowMs() + forMs);
    this.arrivalsMs.delete(vmId);
  }

  /** Time until the engine is warm; undefined if it was never cold. */
  leftMs(vmId: VmId): number | undefined {
    const untilMs = this.untilMs.get(vmId);
    if (untilMs === undefined) return undefined;
    return Math.max(0, untilMs - this.options.nowMs());
  }

  /** Counts a request that reaches an engine, and returns whether it crashes the engine. */
  recordArrival(vmId: VmId): boolean {
    if (!this.leftMs(vmId)) return false;
    const nowMs = this.options.nowMs();
    const times = [...(this.arrivalsMs.get(vmId) ?? []), nowMs].filter(
      atMs => nowMs - atMs < MS_PER_S,
    );
    this.arrivalsMs.set(vmId, times);
    this.busiest.set(vmId, Math.max(times.length, this.busiest.get(vmId) ?? 0));
    if (times.length <= this.options.boundPerS) return false;
    this.crashCount += 1;
    this.untilMs.delete(vmId);
    this.options.crash(vmId);
    return true;
  }
}
