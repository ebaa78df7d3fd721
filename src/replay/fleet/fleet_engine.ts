import type {EngineAssignment, EngineReport} from '../../core/targets/types.js';
import type {VirtualTime} from '../virtual_time.js';
import type {VmRecord} from '../../core/store/types.js';

interface EngineTiming {
  readonly loadMs: number;
  readonly tokensPerSecond: number;
}

interface Order {
  readonly fencingToken: number;
  readonly assignment?: EngineAssignment;
}

const DEFAULT_SLOTS = 8;

/** A model engine on one VM in virtual time: its actual state, not the state that nodes assume. */
export class FleetEngine {
  assignment?: EngineAssignment;
  phase: 'idle' | 'loading' | 'ready' = 'idle';
  condition: 'alive' | 'frozen' | 'dead' = 'alive';
  isLeaving = false;
  /** Attempt ids of the running requests. */
  readonly running = new Set<string>();
  /** Called when the weights are unloaded, with the attempts that this aborts. */
  onUnload: (attempts: readonly string[]) => void = () => {};
  /** Called when loading of weights starts. */
  onLoad: () => void = () => {};
  private bootCount = 0;
  private sequence = 0;
  private highestToken = 0;
  private loadCount = 0;
  private deferred: (() => void)[] = [];

  constructor(
    readonly record: VmRecord,
    private readonly time: VirtualTime,
    private readonly timing: EngineTiming,
  ) {}

  get isReady(): boolean {
    return this.condition !== 'dead' && this.phase === 'ready';
  }

  /** Runs now, after the thaw on a frozen engine, and never on a killed one. */
  deliver(run: () => void): void {
    if (this.condition === 'frozen') this.deferred.push(run);
    else if (this.condition === 'alive') run();
  }

  freeze(): void {
    if (this.condition === 'alive') this.condition = 'frozen';
  }

  thaw(): void {
    if (this.condition !== 'frozen') return;
    this.condition = 'alive';
    for (const run of this.deferred.splice(0)) run();
  }

  kill(): void {
    this.condition = 'dead';
    this.deferred = [];
    this.unload();
    delete this.assignment;
    this.highestToken = 0;
  }

  /** Restarts a killed engine without an assignment. */
  restart(): void {
    if (this.condition !== 'dead') return;
    this.condition = 'alive';
    this.isLeaving = false;
    this.bootCount += 1;
    this.sequence = 0;
  }

  report(): EngineReport {
    this.sequence += 1;
    const {vmId} = this.record;
    return {
      vmId,
      bootId: `${vmId}-${this.bootCount}`,
      sequence: this.sequence,
      state: this.isLeaving ? 'leaving' : this.phase,
      ...(this.assignment && {assignment: this.assignment}),
      slots: this.assignment?.slots ?? DEFAULT_SLOTS,
      running: this.running.size,
      queued: 0,
      tokensPerSecond: this.timing.tokensPerSecond,
    };
  }

  /** Applies an order; engines without fencing ignore its fencing token. */
  processOrder({fencingToken, assignment}: Order): 'done' | 'fenced' {
    if (this.record.checksFencing && fencingToken < this.highestToken) {
      return 'fenced';
    }
    this.highestToken = Math.max(this.highestToken, fencingToken);
    if (!assignment) {
      this.unload();
      delete this.assignment;
      return 'done';
    }
    const previous = this.assignment;
    this.assignment = assignment;
    if (!keepsWeights(previous, assignment)) this.load();
    return 'done';
  }

  private load(): void {
    this.unload();
    this.phase = 'loading';
    this.onLoad();
    const load = this.loadCount;
    const finish = () => {
      if (this.loadCount === load && this.condition !== 'dead') {
        this.phase = 'ready';
      }
    };
    this.time.after(this.timing.loadMs, finish);
  }

  private unload(): void {
    this.loadCount += 1;
    this.phase = 'idle';
    const attempts = [...this.running];
    this.running.clear();
    this.onUnload(attempts);
  }
}

function keepsWeights(
  previous: EngineAssignment | undefined,
  next: EngineAssignment,
): boolean {
  return (
    previous?.replicaId === next.replicaId &&
    previous.model === next.model &&
    previous.version === next.version &&
    previous.role === next.role
  );
}
