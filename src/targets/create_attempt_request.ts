import type {EffectOf} from '../core/effects/types.js';
import type {OpenAnswer} from '../callers/types.js';

/** Methods that omit `content-length` when the request has no body. */
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
  /** Alternating names and values; node:http sends a flat list unchanged. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Builds the HTTP request that an attempt sends to its target. */
export function createAttemptRequest(
  attempt: EffectOf<'startAttempt'>,
  answer: OpenAnswer,
): AttemptRequest {
  const at = attempt.address.lastIndexOf(':');
  const body =
    answer.delivered.tokens > 0 ? createResumedBody(answer) : answer.body;
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
    // The boundaries of events cannot be detected in a compressed stream.
    if (name === 'accept-encoding' && answer.kind === 'model') continue;
    const value = answer.headers[name]!;
    if (Array.isArray(value)) {
      for (const one of value) headers.push(name, one);
    } else {
      headers.push(name, String(value));
    }
  }
}

/** The caller's body plus the part of the response that was already delivered. */
function createResumedBody({body, delivered}: OpenAnswer): Buffer {
  const json = JSON.parse(body.toString()) as object;
  const resume = {text: delivered.text(), tokens: delivered.tokens};
  return Buffer.from(JSON.stringify({...json, resume}));
}
