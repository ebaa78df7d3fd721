import {createSocket} from 'node:dgram';
import type {ServingEffect} from '../core/serving/types.js';
import type {EffectHandler} from '../runtime/types.js';
import type {ServingContext, ServingComponent} from './types.js';
import {digestCodec} from './digest_codec.js';
import {splitAddress} from '../http/index.js';

/** Minimum interval between two digests to the same node. */
const SEND_INTERVAL_MS = 100;

/** Sends digests to peers and receives theirs, as UDP datagrams. */
export class PeerExchange
  implements ServingComponent, EffectHandler<ServingEffect>
{
  readonly types = ['sendDigest'] as const;
  private readonly socket = createSocket('udp4');
  private dropped = 0;

  constructor(private readonly context: ServingContext) {}

  listen(): Promise<void> {
    const {host, port} = splitAddress(this.context.settings.listen.peers);
    this.socket.on('message', (bytes, from) => {
      const digest = digestCodec.decode(bytes);
      if (digest) {
        this.context.events.dispatch({type: 'digestReceived', digest});
      } else {
        this.logDropped(`${from.address}:${from.port}`);
      }
    });
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.off('error', reject);
        this.socket.on('error', error =>
          this.context.logger.write('warn', 'peers', 'peer socket error', {
            error: error.message,
          }),
        );
        resolve();
      });
    });
  }

  start(): void {
    this.context.sharedTimer.runEvery(SEND_INTERVAL_MS, () =>
      this.dispatchDue(false),
    );
  }

  /** Sends digests immediately, for changes that can't wait for the next interval. */
  sendUrgently(): void {
    this.dispatchDue(true);
  }

  handle(effect: ServingEffect): void {
    if (effect.type !== 'sendDigest') return;
    const bytes = digestCodec.encode(effect.digest);
    for (const {address, countedSentAtMs} of effect.to) {
      const {host, port} = splitAddress(address);
      const datagram =
        countedSentAtMs === undefined
          ? bytes
          : digestCodec.copyForReceiver(bytes, countedSentAtMs);
      this.context.metrics.count('peerBytes', datagram.length, {
        direction: 'out',
      });
      this.socket.send(datagram, port, host, error => {
        if (error) this.logDropped(address);
      });
    }
  }

  close(): Promise<void> {
    return new Promise(resolve => this.socket.close(() => resolve()));
  }

  destroy(): void {
    void this.close();
  }

  private dispatchDue(isUrgent: boolean): void {
    this.context.events.dispatch({type: 'digestDue', isUrgent});
  }

  private logDropped(address: string): void {
    this.dropped += 1;
    this.context.logger.write('debug', 'peers', 'datagram dropped', {
      address,
      dropped: this.dropped,
    });
  }
}
