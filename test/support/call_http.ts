import {request, type IncomingHttpHeaders} from 'node:http';

const IDLE_TIMEOUT_MS = 30_000; // longer than any deadline of the test services

interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Receives the parts of the response body as they arrive. */
  readonly onData?: (text: string) => void;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
}

interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection broke before the end of the response. */
  readonly whole: boolean;
}

/** Calls a loopback HTTP server on a connection of its own; rejects when no response arrives. */
export function callHttp(
  url: string,
  options: CallOptions = {},
): Promise<HttpAnswer> {
  return new Promise((resolve, reject) => {
    const call = request(url, {
      method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
      headers: options.headers ?? {},
      agent: false,
      ...(options.signal && {signal: options.signal}),
    });
    call.setTimeout(IDLE_TIMEOUT_MS, () => {
      call.destroy(
        new Error(`no response from ${url} for ${IDLE_TIMEOUT_MS} ms`),
      );
    });
    let hasResponse = false;
    let hasFailed = false;
    call.on('error', error => {
      hasFailed = true;
      if (!hasResponse) reject(error);
    });
    call.on('response', response => {
      hasResponse = true;
      let body = '';
      response.setEncoding('utf8');
      response.on('data', (text: string) => {
        body += text;
        options.onData?.(text);
      });
      response.on('error', () => {});
      response.on('close', () => {
        const {statusCode, headers, complete} = response;
        resolve({
          status: statusCode ?? 0,
          headers,
          body,
          whole: complete && !hasFailed,
        });
      });
    });
    call.end(options.body);
  });
}
