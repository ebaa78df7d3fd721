import PQueue from 'p-queue';
import type {Agent} from 'node:http';
import type {EffectOf} from '../core/effects/types.js';
import type {NodeId} from '../core/ids/index.js';
import type {PeerMessage} from '../core/peers/types.js';
import type {PeerRouter} from './peer_router.js';
import {PEER_SECRET_HEADER} from './peer_secret_header.js';
import {createPeerFetch} from './create_peer_fetch.js';
import {createTRPCClient, httpLink} from '@trpc/client';
import {parsePeerMessage} from './parse_peer_message.js';

interface LinkOptions {
  readonly self: NodeId;
  readonly address: string;
  readonly secret: string;
  readonly agent: Agent;
  readonly countBytes: (sentBytes: number, receivedBytes: number) => void;
}

const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_TIMEOUT_MS = 2000;
const MAX_QUEUED = 256;
const ASK_CONCURRENCY = 4;

/** Connection to one peer: messages are batched into exchanges; requests are sent at once. */
export class PeerLink {
  private readonly trpc;
  private readonly exchanges = new PQueue({concurrency: 1});
  private readonly asks = new PQueue({concurrency: ASK_CONCURRENCY});
  private readonly calls = new Set<AbortController>();
  private waiting: PeerMessage[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LinkOptions) {
    const {address, secret, agent, countBytes} = options;
    this.trpc = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `http://${address}/trpc`,
          headers: {[PEER_SECRET_HEADER]: secret},
          fetch: createPeerFetch(agent, countBytes),
        }),
      ],
    });
  }

  get address(): string {
    return this.options.address;
  }

  /** Queues a message; the oldest is dropped when too many wait for an unresponsive peer. */
  send(message: PeerMessage, urgent: boolean): void {
    this.waiting.push(message);
    if (this.waiting.length > MAX_QUEUED) this.waiting.shift();
    if (urgent) this.flush();
    else this.timer ??= setTimeout(() => this.flush(), EXCHANGE_INTERVAL_MS);
  }

  /** Resolves to undefined when the call fails or times out. */
  async ask(effect: EffectOf<'peerAsk'>): Promise<PeerMessage | undefined> {
    const {callId, message, timeoutMs} = effect;
    const {signal, end} = this.openCall(timeoutMs);
    const from = this.options.self;
    try {
      const answer = await this.asks.add(
        () => this.trpc.ask.mutate({from, callId, message}, {signal}),
        {signal},
      );
      return parsePeerMessage(answer);
    } catch {
      return undefined;
    } finally {
      end();
    }
  }

  /** Sends the queued messages, then destroys the link. */
  async close(): Promise<void> {
    this.flush();
    await this.exchanges.onIdle();
    this.destroy();
  }

  destroy(): void {
    clearTimeout(this.timer);
    this.waiting = [];
    for (const call of this.calls) call.abort();
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    // An exchange that is queued already sends all messages waiting when it starts.
    if (this.exchanges.size > 0) return;
    void this.exchanges.add(() => this.exchange());
  }

  private async exchange(): Promise<void> {
    const messages = this.waiting;
    if (messages.length === 0) return;
    this.waiting = [];
    const {signal, end} = this.openCall(EXCHANGE_TIMEOUT_MS);
    try {
      await this.trpc.exchange.mutate(
        {from: this.options.self, messages},
        {signal},
      );
    } catch {
      // A failed exchange is not retried: the next heartbeat reports the state again.
    } finally {
      end();
    }
  }

  /** Creates a signal that aborts at the time-out or when the link is destroyed; `end` releases it. */
  private openCall(timeoutMs: number) {
    const call = new AbortController();
    const timer = setTimeout(() => call.abort(), timeoutMs);
    this.calls.add(call);
    const end = () => {
      clearTimeout(timer);
      this.calls.delete(call);
    };
    return {signal: call.signal, end};
  }
}
