import {connect, type Socket} from 'node:net';
import PQueue from 'p-queue';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {EventOf} from '../core/events/types.js';
import type {TargetCall} from './target_call.js';
import {callTarget} from './call_target.js';
import {splitAddress} from './split_address.js';

const CONCURRENCY = 64;
const ORDERS_PATH = '/control/orders';

type Outcome = EventOf<'orderResult'>['outcome'];

/**
 * Sends orders of stewards to engines. Nothing is written after an order's
 * `notAfterMs`, which lies within the steward's lease.
 */
export class OrderSender implements EffectHandler {
  readonly types = ['sendOrder'] as const;
  private readonly queue = new PQueue({concurrency: CONCURRENCY});
  private readonly sockets = new Set<Socket>();

  constructor(private readonly context: NodeContext) {}

  handle(effect: Effect): void {
    const order = effect as EffectOf<'sendOrder'>;
    void this.queue.add(() => this.send(order));
  }

  async close(): Promise<void> {
    await this.queue.onIdle();
  }

  destroy(): void {
    this.queue.clear();
    for (const socket of this.sockets) socket.destroy();
  }

  private async send(order: EffectOf<'sendOrder'>): Promise<void> {
    const outcome = await this.resolveOutcome(order);
    const {orderId} = order;
    this.context.events.dispatch({type: 'orderResult', orderId, outcome});
  }

  private async resolveOutcome(order: EffectOf<'sendOrder'>): Promise<Outcome> {
    const socket = await this.connect(order);
    if (!socket) return 'unreachable';
    this.sockets.add(socket);
    try {
      return await this.write(order, socket);
    } finally {
      this.sockets.delete(socket);
      socket.destroy();
    }
  }

  private async write(
    order: EffectOf<'sendOrder'>,
    socket: Socket,
  ): Promise<Outcome> {
    const {orderId, fencingToken, assignment = null} = order;
    // The process may have been paused since the decision: an order that expired meanwhile is not sent.
    const timeoutMs = this.remainingMs(order);
    if (timeoutMs <= 0) return 'unreachable';
    const call = await callTarget({
      address: order.address,
      method: 'POST',
      path: ORDERS_PATH,
      body: JSON.stringify({orderId, fencingToken, assignment}),
      timeoutMs,
      socket,
    });
    return readOutcome(call);
  }

  private connect(order: EffectOf<'sendOrder'>): Promise<Socket | undefined> {
    const timeoutMs = this.remainingMs(order);
    if (timeoutMs <= 0) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const socket = connect(splitAddress(order.address));
      const timer = setTimeout(() => socket.destroy(), timeoutMs);
      socket.once('connect', () => resolve(socket));
      socket.once('error', () => resolve(undefined));
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
    });
  }

  private remainingMs({notAfterMs}: EffectOf<'sendOrder'>): number {
    return notAfterMs - this.context.clock.nowMs();
  }
}

function readOutcome({status}: TargetCall): Outcome {
  if (status === 200) return 'done';
  if (status === 409) return 'fenced';
  return status === 422 ? 'refused' : 'unknown';
}
