import type {AttemptId} from '../../core/ids/index.js';
import type {EngineOptions} from './engine_options.js';
import type {EngineStream} from './engine_stream.js';
import type {VirtualTime} from '../virtual_time.js';
import {PrefixCache} from './prefix_cache.js';

const PROGRESS_TOKENS = 64;
const EPSILON = 1e-6;

interface Running {
  readonly stream: EngineStream;
  prefillLeftMs: number;
  tokens: number;
  hasFirstToken: boolean;
  reported: number;
}

/** A model engine with continuous batching in virtual time: a batch, and a queue behind it. */
export class VirtualEngine {
  readonly cache: PrefixCache;
  private readonly batch: Running[] = [];
  private readonly queue: EngineStream[] = [];
  private advancedAtMs: number;
  private epoch = 0;
  /** Divides the engine's speed; a straggler has more than 1. */
  slowdown = 1;
  tokensDone = 0;

  constructor(
    private readonly time: VirtualTime,
    readonly options: EngineOptions,
  ) {
    this.cache = new PrefixCache(options.cachedPrefixes);
    this.advancedAtMs = time.nowMs;
  }

  get running(): number {
    return this.batch.length;
  }

  get queued(): number {
    return this.queue.length;
  }

  /** Runs a stream now, or queues it by priority when the batch is full. */
  add(stream: EngineStream): void {
    this.advance();
    let at = this.queue.length;
    while (at > 0 && this.queue[at - 1]!.priority < stream.priority) at--;
    this.queue.splice(at, 0, stream);
    this.fill();
    this.plan();
  }

  /** Drops a stream; returns the tokens that it had made. */
  cancel(attemptId: AttemptId): number {
    this.advance();
    const queuedAt = this.queue.findIndex(s => s.attemptId === attemptId);
    if (queuedAt >= 0) this.queue.splice(queuedAt, 1);
    const at = this.batch.findIndex(r => r.stream.attemptId === attemptId);
    const [gone] = at < 0 ? [] : this.batch.splice(at, 1);
    this.fill();
    this.plan();
    return gone ? Math.floor(gone.tokens + EPSILON) : 0;
  }

  private get msPerToken(): number {
    const {tokenMs, batchCost} = this.options;
    const batch = 1 + batchCost * Math.max(0, this.batch.length - 1);
    return tokenMs * batch * this.slowdown;
  }

  private fill(): void {
    while (this.queue.length > 0 && this.batch.length < this.options.slots) {
      const stream = this.queue.shift()!;
      const isCached =
        stream.prefix !== undefined && this.cache.use(stream.prefix);
      const prompt = stream.promptTokens - (isCached ? stream.prefixTokens : 0);
      this.batch.push({
        stream,
        prefillLeftMs: prompt * this.options.prefillMsPerToken * this.slowdown,
        tokens: 0,
        hasFirstToken: false,
        reported: 0,
      });
      stream.onStart();
    }
  }

  /** Gives every stream of the batch the time since the last call. */
  private advance(): void {
    const {msPerToken} = this;
    const elapsedMs = this.time.nowMs - this.advancedAtMs;
    this.advancedAtMs = this.time.nowMs;
    for (const one of this.batch) {
      const prefillMs = Math.min(one.prefillLeftMs, elapsedMs);
      one.prefillLeftMs -= prefillMs;
      const made = (elapsedMs - prefillMs) / msPerToken;
      one.tokens += made;
      this.tokensDone += made;
    }
  }

  private plan(): void {
    const epoch = ++this.epoch;
    if (this.batch.length === 0) return;
    const {msPerToken} = this;
    let nextMs = Infinity;
    for (const one of this.batch) {
      const left = Math.max(0, nextMark(one) - one.tokens);
      nextMs = Math.min(nextMs, one.prefillLeftMs + left * msPerToken);
    }
    this.time.after(nextMs + EPSILON, () => {
      if (epoch === this.epoch) this.pass();
    });
  }

  /** Passes every mark that was reached, lets waiting streams in, then reports. */
  private pass(): void {
    this.advance();
    const reports = this.batch
      .filter(one => isAt(one, nextMark(one)))
      .map(passMark);
    const ended = this.batch.filter(one => isAt(one, outputOf(one)));
    for (const one of ended) this.batch.splice(this.batch.indexOf(one), 1);
    this.fill();
    this.plan();
    for (const report of reports) report();
    for (const one of ended) one.stream.onEnd();
  }
}

function outputOf(one: Running): number {
  return Math.max(1, one.stream.outputTokens);
}

function nextMark(one: Running): number {
  if (!one.hasFirstToken) return 1;
  return Math.min(outputOf(one), one.reported + PROGRESS_TOKENS);
}

function isAt(one: Running, mark: number): boolean {
  return one.prefillLeftMs <= EPSILON && one.tokens + EPSILON >= mark;
}

/** Passes a stream's next mark; returns what is to be reported of it. */
function passMark(one: Running): () => void {
  const {stream} = one;
  if (!one.hasFirstToken) {
    one.hasFirstToken = true;
    return () => stream.onFirstToken();
  }
  one.reported = nextMark(one);
  const tokens = one.reported;
  return () => stream.onProgress(tokens);
}
