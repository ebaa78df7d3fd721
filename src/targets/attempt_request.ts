import type {OutgoingHttpHeaders} from 'node:http';
import type {EffectOf} from '../core/effects/types.js';
import type {OpenAnswer} from '../callers/types.js';

interface AttemptRequest {
  readonly host: string;
  readonly port: string;
  readonly path: string;
  readonly method: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** What an attempt sends to its target. */
export function attemptRequest(
  attempt: EffectOf<'startAttempt'>,
  answer: OpenAnswer,
): AttemptRequest {
  const at = attempt.address.lastIndexOf(':');
  const body = answer.delivered.tokens > 0 ? resumedBody(answer) : answer.body;
  const headers: OutgoingHttpHeaders = {
    ...answer.headers,
    'x-attempt-id': attempt.attemptId,
    'x-request-priority': String(attempt.priority),
  };
  if (body.length > 0 || hasBody(answer.method)) {
    headers['content-length'] = String(body.length);
  }
  // Events of a compressed stream could not be told apart.
  if (answer.kind === 'model') delete headers['accept-encoding'];
  return {
    host: attempt.address.slice(0, at),
    port: attempt.address.slice(at + 1),
    path: answer.path,
    method: answer.method,
    headers,
    body,
  };
}

/** The caller's body with the part of the answer that it already has. */
function resumedBody({body, delivered}: OpenAnswer): Buffer {
  const json = JSON.parse(body.toString()) as object;
  const resume = {text: delivered.text(), tokens: delivered.tokens};
  return Buffer.from(JSON.stringify({...json, resume}));
}

function hasBody(method: string): boolean {
  return method === 'POST' || method === 'PUT' || method === 'PATCH';
}
