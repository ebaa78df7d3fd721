import type {Clock} from '../runtime/types.js';

/** A new connection is accepted one turn of the event loop before its request is read: two turns that are each this late stay within the half second from which rules count. */
const HELD_UP_MS = 250;
/** Turns of the event loop until what came in during a hold-up has been read: the close behind the request of a new connection in the third one, and in this many more digests, 32 a turn, than the buffer of a socket holds. */
const CATCH_UP_TURNS = 4;
/** The turn in which a request is read, and the next one, which reads the close that may lie behind it. */
const CLOSE_TURNS = 2;
/** After a hold-up, bytes of callers that left during it may still arrive: a retransmission takes 200 ms. */
const LATE_BYTES_MS = 250;

/**
 * Notices that the event loop, or the process, was held up, and makes work wait
 * until the node has read what came in meanwhile: callers that have left, and
 * signs of targets and peers.
 */
export class CatchUp {
  /** Turns of the event loop, counted only while work waits. */
  private turn = 0;
  private endTurn = 0;
  private isTurning = false;
  private readonly waiting: {
    readonly turn: number;
    readonly work: () => void;
  }[] = [];
  private dueAtMs = Infinity;
  /** End of the last hold-up. */
  private resumedAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Called when the event loop turns `lateMs` too late. */
    private readonly onHeldUp: (lateMs: number) => void = () => {},
  ) {}

  /** Announces a timer: the event loop turns by then, unless it is held up. */
  expectTurn(dueAtMs: number): void {
    this.dueAtMs = dueAtMs;
  }

  check(nowMs: number): void {
    const lateMs = nowMs - this.dueAtMs;
    if (lateMs <= HELD_UP_MS) return;
    this.dueAtMs = nowMs;
    this.resumedAtMs = nowMs;
    this.endTurn = this.turn + CATCH_UP_TURNS;
    this.startTurn();
    this.onHeldUp(lateMs);
  }

  /** Does work that depends on what the node has read: at once, unless the event loop was held up. */
  run(work: () => void): void {
    const nowMs = this.clock.nowMs();
    this.check(nowMs);
    const isCaughtUp =
      this.waiting.length === 0 &&
      this.turn >= this.endTurn &&
      nowMs - this.resumedAtMs > LATE_BYTES_MS;
    if (isCaughtUp) {
      work();
      return;
    }
    const turn = Math.max(this.endTurn, this.turn + CLOSE_TURNS);
    this.waiting.push({turn, work});
    this.startTurn();
  }

  /** Calls `run` after a time that starts again after a hold-up, since nothing was read in it. Returns a function that cancels it. */
  startTimeout(ms: number, run: () => void): () => void {
    let timer: NodeJS.Timeout;
    const start = () => {
      const startedAtMs = this.clock.nowMs();
      timer = setTimeout(() => {
        this.check(this.clock.nowMs());
        if (this.resumedAtMs > startedAtMs) start();
        else run();
      }, ms);
    };
    start();
    return () => clearTimeout(timer);
  }

  private startTurn(): void {
    if (this.isTurning) return;
    this.isTurning = true;
    setImmediate(() => this.endTurnOfLoop());
  }

  private endTurnOfLoop(): void {
    this.turn += 1;
    this.isTurning = false;
    try {
      while (this.waiting.length > 0 && this.waiting[0]!.turn <= this.turn) {
        this.waiting.shift()!.work();
      }
    } finally {
      if (this.waiting.length > 0 || this.turn < this.endTurn) this.startTurn();
    }
  }
}
