import {createSocket} from 'node:dgram';
import type {NodeId} from '../core/ids/index.js';
import type {NodeRegistry} from './node_registry.js';
import type {ServingContext, ServingPart} from './types.js';
import {createDigest} from '../core/serving/index.js';
import {digestCodec} from './digest_codec.js';
import {splitAddress} from '../http/index.js';

/** Pause between digests while requests are in flight: two passes of a target. */
const BUSY_MS = 100;
/** Without requests a digest is only a sign of life. */
const IDLE_MS = 300;
/** An address that is no longer registered is still told for this long after it was heard. */
const HEARD_MS = 5000;

/** Tells peers this node's load by datagrams, and hears theirs. */
export class PeerExchange implements ServingPart {
  private readonly socket = createSocket('udp4');
  private readonly heard = new Map<
    NodeId,
    {readonly address: string; readonly atMs: number}
  >();
  private timer?: NodeJS.Timeout;
  private sentAtMs = -Infinity;
  private dropped = 0;

  constructor(
    private readonly context: ServingContext,
    private readonly registry: NodeRegistry,
  ) {}

  listen(): Promise<void> {
    const {host, port} = splitAddress(this.context.settings.listen.peers);
    this.socket.on('message', (bytes, from) => {
      const digest = digestCodec.decode(bytes);
      if (!digest) {
        this.noteDropped(`${from.address}:${from.port}`);
        return;
      }
      const address = `${from.address}:${from.port}`;
      const atMs = this.context.clock.nowMs();
      this.heard.set(digest.from, {address, atMs});
      this.context.events.dispatch({type: 'digestReceived', digest});
    });
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.off('error', reject);
        this.socket.on('error', error =>
          this.context.logger.write('warn', 'peers', 'socket failed', {
            error: error.message,
          }),
        );
        resolve();
      });
    });
  }

  start(): void {
    this.timer = setInterval(() => this.send(), BUSY_MS);
  }

  /** Tells peers now, for news that can't wait. */
  send(isUrgent = false): void {
    const {state, clock} = this.context;
    const nowMs = clock.nowMs();
    const isIdle = state.requests.size === 0;
    if (!isUrgent && isIdle && nowMs - this.sentAtMs < IDLE_MS) return;
    this.sentAtMs = nowMs;
    const bytes = digestCodec.encode(createDigest(state, nowMs));
    for (const address of this.targets(nowMs)) {
      const {host, port} = splitAddress(address);
      this.socket.send(bytes, port, host, error => {
        if (error) this.noteDropped(address);
      });
    }
  }

  close(): Promise<void> {
    clearInterval(this.timer);
    return new Promise(resolve => this.socket.close(() => resolve()));
  }

  private targets(nowMs: number): Set<string> {
    const {nodeId} = this.context.settings;
    const addresses = new Set<string>();
    for (const [peerId, address] of this.registry.addresses) {
      if (peerId !== nodeId) addresses.add(address);
    }
    for (const [peerId, {address, atMs}] of this.heard) {
      if (nowMs - atMs > HEARD_MS) this.heard.delete(peerId);
      else addresses.add(address);
    }
    return addresses;
  }

  private noteDropped(address: string): void {
    this.dropped += 1;
    this.context.logger.write('debug', 'peers', 'datagram dropped', {
      address,
      dropped: this.dropped,
    });
  }
}
