import {Agent, request} from 'node:http';
import type {
  PlatformStore,
  StoreOperation,
  StoreOutcome,
} from '../core/store/types.js';

const MAX_SOCKETS = 16;
const WRITES: ReadonlySet<StoreOperation['kind']> = new Set([
  'compareAndSwap',
  'grantLease',
  'keepAlive',
  'revokeLease',
  'takeWeightToken',
]);

/**
 * Client of the platform's HTTP protocol: `POST /v1/<kind>` with the operation
 * as JSON; the response is 200 with a `StoreOutcome`. A platform with another
 * protocol only needs a replacement for this class.
 */
export class HttpPlatformStore implements PlatformStore {
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS,
  });
  private readonly host: string;
  private readonly port: number;

  /** @param address `host:port` of the platform's service. */
  constructor(address: string) {
    const colonIndex = address.lastIndexOf(':');
    this.host = address.slice(0, colonIndex);
    this.port = Number(address.slice(colonIndex + 1));
  }

  call(operation: StoreOperation, timeoutMs: number): Promise<StoreOutcome> {
    const body = JSON.stringify(operation);
    return new Promise(resolve => {
      let isSent = false;
      const createLostOutcome = (): StoreOutcome =>
        isSent && WRITES.has(operation.kind)
          ? {kind: 'unknown'}
          : {kind: 'unavailable'};
      const httpRequest = request({
        agent: this.agent,
        host: this.host,
        port: this.port,
        method: 'POST',
        path: `/v1/${operation.kind}`,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
      });
      const timer = setTimeout(
        () => httpRequest.destroy(new Error('timeout')),
        timeoutMs,
      );
      const finish = (outcome: StoreOutcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      httpRequest.on('socket', socket => {
        if (!socket.connecting) isSent = true;
        else socket.once('connect', () => (isSent = true));
      });
      httpRequest.on('error', () => finish(createLostOutcome()));
      httpRequest.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => finish(createLostOutcome()));
        response.on('aborted', () => finish(createLostOutcome()));
        response.on('end', () => {
          finish(
            parseOutcome(response.statusCode, chunks) ?? createLostOutcome(),
          );
        });
      });
      httpRequest.end(body);
    });
  }

  async close(): Promise<void> {
    this.agent.destroy();
  }
}

function parseOutcome(
  status: number | undefined,
  chunks: readonly Buffer[],
): StoreOutcome | undefined {
  if (status === 503) return {kind: 'unavailable'};
  if (status !== 200) return undefined;
  try {
    return JSON.parse(Buffer.concat(chunks).toString()) as StoreOutcome;
  } catch {
    return undefined;
  }
}
