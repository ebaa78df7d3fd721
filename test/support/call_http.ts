import {request, type IncomingHttpHeaders} from 'node:http';

const LIMIT_MS = 30_000; // longer than every deadline of the test services

interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Sees the answer's bytes as they come. */
  readonly onData?: (text: string) => void;
  /** Ends the call from the caller's side. */
  readonly signal?: AbortSignal;
}

interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection broke before the answer's end. */
  readonly whole: boolean;
}

/** Calls a loopback HTTP server on a connection of its own; rejects when no answer came. */
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
    call.setTimeout(LIMIT_MS, () => {
      call.destroy(new Error(`no answer from ${url} for ${LIMIT_MS} ms`));
    });
    call.on('error', reject);
    call.on('response', response => {
      let body = '';
      response.setEncoding('utf8');
      response.on('data', (text: string) => {
        body += text;
        options.onData?.(text);
      });
      response.on('error', () => {});
      response.on('close', () => {
        const {statusCode, headers, complete} = response;
        resolve({status: statusCode ?? 0, headers, body, whole: complete});
      });
    });
    call.end(options.body);
  });
}
