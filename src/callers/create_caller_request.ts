import {createHash} from 'node:crypto';
import {ok, type Result} from 'neverthrow';
import type {CallerHead} from './caller_head.js';
import type {CallerRequest} from '../core/requests/types.js';
import type {Refusal} from '../core/errors/index.js';
import {parseModelBody} from './parse_model_body.js';

/** Estimate, as application bodies are not tokenised. */
const BYTES_PER_TOKEN = 4;

/** Describes a complete request for the core, which does not process its bytes. */
export function createCallerRequest(
  head: CallerHead,
  body: Buffer,
): Result<CallerRequest, Refusal> {
  const {headers: _headers, method: _method, path: _path, ...shared} = head;
  const bodyDigest = digestRequest(head, body);
  if (head.kind === 'model') {
    return parseModelBody(body).map(fields => ({
      ...shared,
      ...fields,
      bodyDigest,
    }));
  }
  return ok({
    ...shared,
    service: head.service ?? '',
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    stream: false,
    deterministic: false,
    prefixHashes: [],
    bodyDigest,
  });
}

function digestRequest(head: CallerHead, body: Buffer): string {
  return createHash('sha256')
    .update(`${head.method}\0${head.path}\0`)
    .update(body)
    .digest('hex');
}
