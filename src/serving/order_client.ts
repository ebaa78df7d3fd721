import {Agent, request} from 'node:http';
import type {EffectHandler} from '../runtime/types.js';
import type {EngineCall, ServingContext} from './types.js';
import type {ServingEffect} from '../core/serving/types.js';
import type {VmId} from '../core/ids/index.js';
import {dispatchAnnouncement} from './dispatch_announcement.js';
import {ResponseSizeLimit, splitAddress} from '../http/index.js';

/** Engines respond to an order immediately; the rest allows for network delay. */
const ORDER_TIMEOUT_MS = 600;
const PROBE_TIMEOUT_MS = 250;
/** Responses to orders and probes have a few hundred bytes. */
const MAX_RESPONSE_BYTES = 256 * 1024;

/** 'refused': the connection was refused. 'silent': any other failure, a time-out included. */
type CallOutcome =
  | {readonly kind: 'answered'; readonly status: number; readonly body: string}
  | {readonly kind: 'refused'}
  | {readonly kind: 'silent'};

/** Sends the steward's orders and probes to engines, and dispatches their responses as events. */
export class OrderClient implements EffectHandler<ServingEffect> {
  readonly types = ['sendOrder', 'probeEngine'] as const;
  private readonly agent = new Agent({keepAlive: false});

  constructor(private readonly context: ServingContext) {}

  handle(effect: ServingEffect): void {
    if (effect.type === 'sendOrder') void this.sendOrder(effect);
    if (effect.type === 'probeEngine') void this.probe(effect);
  }

  close(): Promise<void> {
    this.agent.destroy();
    return Promise.resolve();
  }

  destroy(): void {
    void this.close();
  }

  private async sendOrder(
    effect: Extract<ServingEffect, {type: 'sendOrder'}>,
  ): Promise<void> {
    const {events, wire, metrics} = this.context;
    const {vmId, address, order} = effect;
    const call = wire.engines.writeOrder(order);
    const result = await this.call(vmId, address, call, ORDER_TIMEOUT_MS);
    const outcome =
      result.kind === 'answered'
        ? (wire.engines.readOrderStatus(result.status) ?? 'unknown')
        : result.kind === 'refused'
          ? 'refused'
          : 'unknown';
    metrics.count('orders', 1, {kind: order.kind});
    metrics.count('orderResults', 1, {outcome});
    events.dispatch({type: 'orderAnswered', vmId, order, outcome});
  }

  private async probe(
    effect: Extract<ServingEffect, {type: 'probeEngine'}>,
  ): Promise<void> {
    const {events, wire, metrics} = this.context;
    const {vmId, address, isForClose, isForSilence} = effect;
    const sentAtMs = this.context.clock.nowMs();
    const result = await this.call(
      vmId,
      address,
      wire.engines.writeProbe(),
      PROBE_TIMEOUT_MS,
    );
    metrics.count('targetPolls', 1);
    const report =
      result.kind === 'answered' ? wire.engines.readProbe(result.body) : {};
    events.dispatch({
      type: 'probeAnswered',
      vmId,
      outcome: result.kind,
      pace: report?.pace,
      bornAtMs: report?.bornAtMs,
      ageMs: this.context.clock.nowMs() - sentAtMs,
      isForClose,
      isForSilence,
    });
  }

  private call(
    vmId: VmId,
    address: string,
    call: EngineCall,
    timeoutMs: number,
  ): Promise<CallOutcome> {
    const {host, port} = splitAddress(address);
    return new Promise(resolve => {
      const headers: Record<string, string | number> = {};
      if (call.body !== undefined) {
        headers['content-type'] = 'application/json';
        headers['content-length'] = Buffer.byteLength(call.body);
      }
      const outgoing = request({
        host,
        port,
        method: call.method,
        path: call.path,
        headers,
        agent: this.agent,
      });
      new ResponseSizeLimit(outgoing, MAX_RESPONSE_BYTES, () =>
        outgoing.destroy(new Error('bytes without end')),
      );
      const timer = setTimeout(
        () => outgoing.destroy(new Error('timeout')),
        timeoutMs,
      );
      const finish = (outcome: CallOutcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      outgoing.on('error', (error: NodeJS.ErrnoException) =>
        finish({kind: error.code === 'ECONNREFUSED' ? 'refused' : 'silent'}),
      );
      outgoing.on('response', response => {
        const status = response.statusCode ?? 0;
        dispatchAnnouncement(
          this.context,
          {vmId, hasRun: false},
          status,
          response.headers,
        );
        let body = '';
        response.setEncoding('utf8');
        response.on('data', (text: string) => {
          body += text;
        });
        response.on('error', () => finish({kind: 'silent'}));
        response.on('end', () =>
          finish({
            kind: 'answered',
            status,
            body,
          }),
        );
      });
      outgoing.end(call.body);
    });
  }
}
