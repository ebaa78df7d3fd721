import type {AttemptId} from '../../core/ids/index.js';
import type {EngineOptions} from './engine_options.js';
import type {EngineStream} from './engine_stream.js';
import type {VirtualTime} from '../virtual_time.js';
import {PrefixCache} from './prefix_cache.js';

const PROGRESS_TOKENS = 64;
const EPSILON = 1e-6;

interface RunningStream {
  readonly stream: EngineStream;
  prefillLeftMs: number;
  tokens: number;
  hasFirstToken: boolean;
  reported: number;
}

/** A model engine with continuous batching in virtual time: a batch and a priority queue. */
export class VirtualEngine {
  readonly cache: PrefixCache;
  private readonly batch: RunningStream[] = [];
  private readonly queue: EngineStream[] = [];
  private advancedAtMs: number;
  /** Incremented by each `plan`, so that callbacks of earlier plans are ignored. */
  private epoch = 0;
  /** Factor on all times of the engine; more than 1 for a straggler. */
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
    this.fillBatch();
    this.plan();
  }

  /** Removes a stream; returns the tokens that it had generated. */
  cancel(attemptId: AttemptId): number {
    this.advance();
    const queuedAt = this.queue.findIndex(s => s.attemptId === attemptId);
    if (queuedAt >= 0) this.queue.splice(queuedAt, 1);
    const at = this.batch.findIndex(r => r.stream.attemptId === attemptId);
    const [cancelled] = at < 0 ? [] : this.batch.splice(at, 1);
    this.fillBatch();
    this.plan();
    return cancelled ? Math.floor(cancelled.tokens + EPSILON) : 0;
  }

  private get msPerToken(): number {
    const {tokenMs, batchCost} = this.options;
    const batch = 1 + batchCost * Math.max(0, this.batch.length - 1);
    return tokenMs * batch * this.slowdown;
  }

  private fillBatch(): void {
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

  /** Advances every stream of the batch by the time since the last call. */
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
      const left = Math.max(0, nextMilestone(one) - one.tokens);
      nextMs = Math.min(nextMs, one.prefillLeftMs + left * msPerToken);
    }
    this.time.after(nextMs + EPSILON, () => {
      if (epoch === this.epoch) this.processMilestones();
    });
  }

  /**
   * Processes the milestones that were reached, admits waiting streams, then
   * calls the callbacks.
   */
  private processMilestones(): void {
    this.advance();
    const reports = this.batch
      .filter(one => hasReached(one, nextMilestone(one)))
      .map(recordMilestone);
    const ended = this.batch.filter(one =>
      hasReached(one, outputTokensOf(one)),
    );
    for (const one of ended) this.batch.splice(this.batch.indexOf(one), 1);
    this.fillBatch();
    this.plan();
    for (const report of reports) report();
    for (const one of ended) one.stream.onEnd();
  }
}

function outputTokensOf(one: RunningStream): number {
  return Math.max(1, one.stream.outputTokens);
}

function nextMilestone(one: RunningStream): number {
  if (!one.hasFirstToken) return 1;
  return Math.min(outputTokensOf(one), one.reported + PROGRESS_TOKENS);
}

function hasReached(one: RunningStream, milestone: number): boolean {
  return one.prefillLeftMs <= EPSILON && one.tokens + EPSILON >= milestone;
}

/** Records that a stream reached its next milestone; returns the callback to run for it. */
function recordMilestone(one: RunningStream): () => void {
  const {stream} = one;
  if (!one.hasFirstToken) {
    one.hasFirstToken = true;
    return () => stream.onFirstToken();
  }
  one.reported = nextMilestone(one);
  const tokens = one.reported;
  return () => stream.onProgress(tokens);
}
