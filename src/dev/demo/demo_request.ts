import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DemoOutcome} from './demo_outcome.js';
import type {DemoEnd} from './demo_end.js';
import type {EntryCache} from './entry_cache.js';
import type {Exchange} from './exchange.js';
import {httpExchange} from './http_exchange.js';
import {readRefusal} from './read_refusal.js';

const GIVE_UP_MS = 30_000;
const ATTEMPT_TIMEOUT_MS = 25_000;
const NO_ENTRY_WAIT_MS = 100;
const MAX_WAIT_MS = 3000;
const MIN_WAIT_MS = 20;

interface DemoRequestOptions {
  readonly entries: EntryCache;
  readonly agent: Agent;
  readonly token: string;
}

/**
 * One request of a caller: it is sent to an entry, retried as the verdict
 * allows, and counted as lost when it is not answered within `GIVE_UP_MS`.
 */
export abstract class DemoRequest {
  abstract readonly kind: DemoOutcome['kind'];
  private readonly startedAtMs = Date.now();
  private firstTokenMs?: number;
  private notRun = 0;
  private mayHaveRun = 0;

  constructor(private readonly options: DemoRequestOptions) {}

  async run(): Promise<DemoOutcome> {
    let reason = 'no entry answered';
    while (Date.now() - this.startedAtMs < GIVE_UP_MS) {
      const address = await this.options.entries.pick();
      if (address === undefined) {
        await sleep(NO_ENTRY_WAIT_MS);
        continue;
      }
      const exchange = await this.send(address);
      if (!exchange) {
        reason = `the connection to ${address} broke`;
        this.options.entries.avoid(address);
        continue;
      }
      const end = this.read(exchange) ?? (await this.handleRefusal(exchange));
      if (end) return this.finish(end);
      reason = readRefusal(exchange.body)?.error.name ?? 'no whole answer';
    }
    return this.finish({end: 'lost', reason});
  }

  protected abstract readonly path: string;
  protected abstract readonly headers: Readonly<Record<string, string>>;
  protected abstract readonly body: string;

  /** Checks a response; returns undefined for a refusal or a truncated response. */
  protected abstract read(exchange: Exchange): DemoEnd | undefined;

  /** Handles a refusal whose verdict is not `not-run`; returns undefined to retry. */
  protected abstract afterRun(): Promise<DemoEnd | undefined>;

  private send(address: string): Promise<Exchange | undefined> {
    const {agent, token} = this.options;
    return httpExchange({
      address,
      method: 'POST',
      path: this.path,
      headers: {
        authorization: `Bearer ${token}`,
        'content-type': 'application/json',
        ...this.headers,
      },
      body: this.body,
      agent,
      timeoutMs: ATTEMPT_TIMEOUT_MS,
    });
  }

  protected noteFirstToken(atMs: number): void {
    this.firstTokenMs ??= atMs - this.startedAtMs;
  }

  private async handleRefusal(
    exchange: Exchange,
  ): Promise<DemoEnd | undefined> {
    const refusal = readRefusal(exchange.body);
    if (!refusal) return undefined;
    const {error, entries} = refusal;
    if (entries) this.options.entries.replaceEntries(entries);
    if (error.verdict === 'not-run') {
      this.notRun += 1;
      if (error.retryAfterMs === undefined && exchange.status < 500) {
        return {end: 'lost', reason: error.name};
      }
    } else {
      this.mayHaveRun += 1;
      const end = await this.afterRun();
      if (end) return end;
    }
    const waitMs = Math.min(MAX_WAIT_MS, error.retryAfterMs ?? MIN_WAIT_MS);
    await sleep(MIN_WAIT_MS + waitMs * (0.5 + Math.random() / 2));
    return undefined;
  }

  private finish(end: DemoEnd): DemoOutcome {
    const {kind, notRun, mayHaveRun, firstTokenMs} = this;
    return {
      kind,
      lookedUp: false,
      notRun,
      mayHaveRun,
      ...(firstTokenMs !== undefined && {firstTokenMs}),
      ...end,
    };
  }
}
