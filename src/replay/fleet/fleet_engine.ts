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

/** A model engine on one VM in virtual time, as it is and not as anyone sees it. */
export class FleetEngine {
  assignment?: EngineAssignment;
  phase: 'idle' | 'loading' | 'ready' = 'idle';
  condition: 'alive' | 'frozen' | 'dead' = 'alive';
  isLeaving = false;
  /** Requests that it runs, by attempt. */
  readonly running = new Set<string>();
  /** Called when the assignment is given up, with the attempts that end with it. */
  onUnload: (attempts: readonly string[]) => void = () => {};
  /** Called when weights are loaded. */
  onLoad: () => void = () => {};
  private bootCount = 0;
  private sequence = 0;
  private highestToken = 0;
  private loadCount = 0;
  private held: (() => void)[] = [];

  constructor(
    readonly record: VmRecord,
    private readonly time: VirtualTime,
    private readonly timing: EngineTiming,
  ) {}

  get isReady(): boolean {
    return this.condition !== 'dead' && this.phase === 'ready';
  }

  /** Runs now, or when a frozen engine continues; never on a dead one. */
  deliver(run: () => void): void {
    if (this.condition === 'frozen') this.held.push(run);
    else if (this.condition === 'alive') run();
  }

  freeze(): void {
    if (this.condition === 'alive') this.condition = 'frozen';
  }

  thaw(): void {
    if (this.condition !== 'frozen') return;
    this.condition = 'alive';
    for (const run of this.held.splice(0)) run();
  }

  kill(): void {
    this.condition = 'dead';
    this.held = [];
    this.unload();
    delete this.assignment;
    this.highestToken = 0;
  }

  /** Comes back empty. */
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

  /** Carries out an order; engines without fencing never look at its token. */
  take({fencingToken, assignment}: Order): 'done' | 'fenced' {
    if (this.record.checksFencing && fencingToken < this.highestToken) {
      return 'fenced';
    }
    this.highestToken = Math.max(this.highestToken, fencingToken);
    if (!assignment) {
      this.unload();
      delete this.assignment;
      return 'done';
    }
    const last = this.assignment;
    this.assignment = assignment;
    if (!keepsWeights(last, assignment)) this.load();
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
  last: EngineAssignment | undefined,
  next: EngineAssignment,
): boolean {
  return (
    last?.replicaId === next.replicaId &&
    last.model === next.model &&
    last.version === next.version &&
    last.role === next.role
  );
}
