import {callHttp} from './call_http.js';
import {SECRETS} from './cluster_files.js';

interface ChatOptions {
  readonly prompt?: string;
  readonly outputTokens?: number;
  readonly stream?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
  readonly standin?: object;
  readonly onData?: (text: string) => void;
  readonly signal?: AbortSignal;
}

const CALLER_HEADERS = {
  authorization: `Bearer ${SECRETS.callerToken}`,
  'content-type': 'application/json',
};

/** Sends a request to the chat service of a test cluster. */
export function callChat(
  callerUrl: string,
  options: ChatOptions = {},
): ReturnType<typeof callHttp> {
  const {prompt = 'hello', outputTokens = 8, stream = true} = options;
  return callHttp(`${callerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {...CALLER_HEADERS, ...options.headers},
    body: JSON.stringify({
      model: 'chat',
      stream,
      temperature: 0,
      messages: [{role: 'user', content: prompt}],
      standin: {outputTokens, ...options.standin},
    }),
    ...(options.onData && {onData: options.onData}),
    ...(options.signal && {signal: options.signal}),
  });
}

/** Sends a request to the orders service, which runs each key at most once. */
export function callOrder(
  callerUrl: string,
  idempotencyKey: string,
  options: {readonly body?: object; readonly query?: string} = {},
): ReturnType<typeof callHttp> {
  const {body = {item: 'donkey'}, query = ''} = options;
  return callHttp(`${callerUrl}/services/orders/order${query}`, {
    method: 'POST',
    headers: {...CALLER_HEADERS, 'idempotency-key': idempotencyKey},
    body: JSON.stringify(body),
  });
}
