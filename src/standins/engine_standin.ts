import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CompletionBody} from './completion_body.js';
import type {EngineOptions} from './engine_options.js';
import type {EngineReport} from '../core/targets/types.js';
import type {VmId} from '../core/ids/index.js';
import {Completion} from './completion.js';
import {CompletionQueue} from './completion_queue.js';
import {EngineOrders} from './engine_orders.js';
import {HttpService} from './http_service.js';
import {PrefixCache} from './prefix_cache.js';
import {createPrefixHashes} from '../targets/create_prefix_hashes.js';
import {readJson} from './read_json.js';
import {resolvePrompt} from '../targets/resolve_prompt.js';
import {sendJson} from './send_json.js';

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 16;
const NOT_RUN = {'x-not-run': 'true'};

/** Engines of one process by VM; a leader uses it to check that its members are alive. */
type EngineFleet = Map<VmId, EngineStandin>;

/** Stand-in for a model engine on one VM. */
export class EngineStandin {
  /** Completions by outcome; `withMemberMissing` counts starts while a VM of the replica was down. */
  readonly stats = {started: 0, ended: 0, cancelled: 0, withMemberMissing: 0};
  isAlive = false;
  private readonly service = new HttpService((request, response) =>
    this.handle(request, response),
  );
  private readonly orders: EngineOrders;
  private readonly queue: CompletionQueue;
  private readonly open = new Set<ServerResponse>();
  private cache: PrefixCache;
  private bootId = randomBytes(6).toString('hex');
  private sequence = 0;
  private leaving = false;
  private paused = false;
  private speed = 1;
  private resumeCallbacks: (() => void)[] = [];

  constructor(
    private readonly options: EngineOptions,
    private readonly fleet: EngineFleet = new Map(),
  ) {
    fleet.set(options.vmId, this);
    this.orders = new EngineOrders(options, () => this.destroyResponses());
    this.queue = new CompletionQueue(() => this.slots());
    this.cache = new PrefixCache(options.cacheBlocks);
  }

  get address(): string {
    return this.service.address;
  }

  async listen(port = 0): Promise<void> {
    await this.service.listen(port);
    this.isAlive = true;
  }

  /** Drops all connections and state; restarts without an assignment after `forMs` when given. */
  kill(forMs?: number): void {
    this.isAlive = false;
    this.service.destroy();
    this.destroyResponses();
    this.orders.reset();
    if (forMs === undefined) return;
    setTimeout(() => void this.restart(), forMs).unref();
  }

  /** Refuses new requests and completes the running ones. */
  leave(): void {
    this.leaving = true;
  }

  /** Stops responding and generating until `resume`, as a frozen process does. */
  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    for (const proceed of this.resumeCallbacks.splice(0)) proceed();
  }

  async close(): Promise<void> {
    this.kill();
  }

  private async restart(): Promise<void> {
    this.bootId = randomBytes(6).toString('hex');
    this.sequence = 0;
    this.leaving = false;
    this.cache = new PrefixCache(this.options.cacheBlocks);
    await this.listen(this.service.port);
  }

  private slots(): number {
    return this.orders.assignment?.slots ?? this.options.slots;
  }

  private destroyResponses(): void {
    for (const response of this.open) response.destroy();
  }

  private report(): EngineReport {
    const {assignment, phase} = this.orders;
    this.sequence += 1;
    return {
      vmId: this.options.vmId,
      bootId: this.bootId,
      sequence: this.sequence,
      state: this.leaving ? 'leaving' : phase,
      ...(assignment && {assignment}),
      slots: this.slots(),
      running: this.queue.running,
      queued: this.queue.queued,
      tokensPerSecond: this.options.tokensPerSecond * this.speed,
    };
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    if (url.pathname.startsWith('/standin/')) {
      return this.handleControl(url.pathname, request, response);
    }
    if (this.paused) {
      await new Promise<void>(proceed => this.resumeCallbacks.push(proceed));
    }
    switch (`${request.method} ${url.pathname}`) {
      case 'GET /control/report':
        return sendJson(response, 200, this.report());
      case 'POST /control/orders': {
        const outcome = this.orders.processOrder(await readJson(request));
        const status = {done: 200, fenced: 409, refused: 422}[outcome];
        return sendJson(response, status, {outcome});
      }
      case 'GET /control/cacheEvents': {
        const since = Number(url.searchParams.get('since') ?? 0);
        const changes = this.cache.changesSince(since);
        return sendJson(response, 200, {bootId: this.bootId, ...changes});
      }
      case 'POST /v1/chat/completions':
        return this.complete(request, response, true);
      case 'POST /v1/completions':
        return this.complete(request, response, false);
      default:
        return sendJson(response, 404, {});
    }
  }

  private async handleControl(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson<{forMs?: number; factor?: number}>(request);
    if (path === '/standin/leave') this.leave();
    if (path === '/standin/pause') this.pause();
    if (path === '/standin/resume') this.resume();
    if (path === '/standin/speed') this.speed = body.factor ?? 1;
    sendJson(response, 200, {
      ...this.stats,
      running: this.queue.running,
      orders: this.orders.receivedOrders,
    });
    if (path === '/standin/die')
      response.on('close', () => this.kill(body.forMs));
  }

  private async complete(
    request: IncomingMessage,
    response: ServerResponse,
    chat: boolean,
  ): Promise<void> {
    const body = await readJson<CompletionBody>(request);
    if (this.leaving) {
      const headers = {...NOT_RUN, 'x-target-state': 'leaving'};
      return sendJson(response, 503, {error: 'leaving'}, headers);
    }
    const {assignment, phase} = this.orders;
    if (phase !== 'ready' || assignment?.leader !== this.options.vmId) {
      return sendJson(response, 503, {error: 'not ready'}, NOT_RUN);
    }
    if (body.standin?.crash) return this.kill();
    this.run(response, body, {
      chat,
      priority: Number(request.headers['x-request-priority'] ?? 0),
    });
  }

  private run(
    response: ServerResponse,
    body: CompletionBody,
    {chat, priority}: {chat: boolean; priority: number},
  ): void {
    const {options} = this;
    const prompt = resolvePrompt(body);
    const hashes = createPrefixHashes(prompt);
    const cachedShare =
      hashes.length && this.cache.countCached(hashes) / hashes.length;
    const promptTokens =
      (prompt.length / CHARACTERS_PER_TOKEN) * (1 - cachedShare);
    const completion = new Completion(
      response,
      {
        prompt,
        firstIndex: body.resume?.tokens ?? 0,
        endIndex:
          body.standin?.outputTokens ??
          body.max_tokens ??
          DEFAULT_OUTPUT_TOKENS,
        stream: body.stream ?? false,
        chat,
        prefillMs: (promptTokens / options.prefillTokensPerSecond) * 1000,
        tokenMs: () => 1000 / (options.tokensPerSecond * this.speed),
        isSuspended: () => this.paused || this.isMemberMissing(),
      },
      () => (this.stats.ended += 1),
    );
    this.stats.started += 1;
    if (this.isMemberMissing()) this.stats.withMemberMissing += 1;
    this.open.add(response);
    const release = this.queue.add(priority, () => {
      this.cache.store(hashes);
      completion.start();
    });
    response.on('close', () => {
      completion.stop();
      this.open.delete(response);
      if (!response.writableFinished) this.stats.cancelled += 1;
      release();
    });
  }

  private isMemberMissing(): boolean {
    const vms = this.orders.assignment?.vms ?? [];
    return vms.some(vmId => this.fleet.get(vmId)?.isAlive === false);
  }
}
