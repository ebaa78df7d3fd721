import {request, type Agent} from 'node:http';
import type {Exchange} from './exchange.js';
import {splitAddress} from '../../http/index.js';

interface ExchangeRequest {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent: Agent;
  readonly timeoutMs: number;
}

/** Sends one request; resolves to undefined when no complete response arrived in time. */
export function httpExchange(
  options: ExchangeRequest,
): Promise<Exchange | undefined> {
  const {address, method, path, headers, body, agent, timeoutMs} = options;
  return new Promise(resolve => {
    const call = request({
      ...splitAddress(address),
      method,
      path,
      agent,
      headers: {
        ...headers,
        ...(body !== undefined && {'content-length': Buffer.byteLength(body)}),
      },
    });
    const timer = setTimeout(() => call.destroy(), timeoutMs);
    const settle = (exchange?: Exchange) => {
      clearTimeout(timer);
      resolve(exchange);
    };
    call.on('error', () => settle());
    call.on('response', response => {
      let text = '';
      let firstByteAtMs = 0;
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        firstByteAtMs ||= Date.now();
        text += chunk;
      });
      response.on('error', () => settle());
      response.on('close', () => {
        if (!response.complete) return settle();
        const verdict = response.headers['rhubarbstile-verdict'];
        settle({
          status: response.statusCode ?? 0,
          ...(typeof verdict === 'string' && {verdict}),
          body: text,
          firstByteAtMs,
        });
      });
    });
    call.end(body);
  });
}
