import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Refusal} from '../core/errors/index.js';
import {createRefusal} from '../core/errors/index.js';

const EMPTY_BODY = Buffer.alloc(0);

/**
 * Reads a request's body; `done` gets a refusal above `limitBytes`, and is not
 * called when the caller disconnects.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  done: (result: Result<Buffer, Refusal>) => void,
): void {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > limitBytes) {
    done(err(refuseLarge(limitBytes)));
    return;
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  const onData = (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > limitBytes) settle(err(refuseLarge(limitBytes)));
    else chunks.push(chunk);
  };
  const onEnd = () => {
    settle(ok(chunks.length === 1 ? chunks[0]! : joinChunks(chunks)));
  };
  const settle = (result: Result<Buffer, Refusal>) => {
    request.off('data', onData);
    request.off('end', onEnd);
    done(result);
  };
  request.on('data', onData);
  request.on('end', onEnd);
}

function joinChunks(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 0 ? EMPTY_BODY : Buffer.concat(chunks);
}

function refuseLarge(limitBytes: number): Refusal {
  return createRefusal('BodyTooLarge', 'not-run', {params: {limitBytes}});
}
