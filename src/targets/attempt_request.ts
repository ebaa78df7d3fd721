import type {EffectOf} from '../core/effects/types.js';
import type {OpenAnswer} from '../callers/types.js';

/** Methods whose requests state no length when they have no body. */
const BODILESS_METHODS = new Set([
  'GET',
  'HEAD',
  'DELETE',
  'OPTIONS',
  'TRACE',
  'CONNECT',
]);

interface AttemptRequest {
  readonly host: string;
  readonly port: string;
  readonly path: string;
  readonly method: string;
  /** Names and values in turn: node:http sends such a list as it is. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What an attempt sends to its target. */
export function attemptRequest(
  attempt: EffectOf<'startAttempt'>,
  answer: OpenAnswer,
): AttemptRequest {
  const at = attempt.address.lastIndexOf(':');
  const body = answer.delivered.tokens > 0 ? resumedBody(answer) : answer.body;
  const headers = ['host', attempt.address];
  addCallerHeaders(headers, answer);
  headers.push('x-attempt-id', attempt.attemptId);
  headers.push('x-request-priority', String(attempt.priority));
  if (body.length > 0 || !BODILESS_METHODS.has(answer.method)) {
    headers.push('content-length', String(body.length));
  }
  return {
    host: attempt.address.slice(0, at),
    port: attempt.address.slice(at + 1),
    path: answer.path,
    method: answer.method,
    headers,
    body,
  };
}

function addCallerHeaders(headers: string[], answer: OpenAnswer): void {
  for (const name in answer.headers) {
    // Events of a compressed stream could not be told apart.
    if (name === 'accept-encoding' && answer.kind === 'model') continue;
    const value = answer.headers[name]!;
    if (Array.isArray(value)) {
      for (const one of value) headers.push(name, one);
    } else {
      headers.push(name, String(value));
    }
  }
}

/** The caller's body with the part of the answer that it already has. */
function resumedBody({body, delivered}: OpenAnswer): Buffer {
  const json = JSON.parse(body.toString()) as object;
  const resume = {text: delivered.text(), tokens: delivered.tokens};
  return Buffer.from(JSON.stringify({...json, resume}));
}
