import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Refusal} from '../core/errors/index.js';
import {createRefusal} from '../core/errors/index.js';

const NO_BODY = Buffer.alloc(0);

/** Reads a request's body within the size limit; not called back when the caller leaves. */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  done: (result: Result<Buffer, Refusal>) => void,
): void {
  const stated = Number(request.headers['content-length'] ?? 0);
  if (stated > limitBytes) {
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
  return chunks.length === 0 ? NO_BODY : Buffer.concat(chunks);
}

function refuseLarge(limitBytes: number): Refusal {
  return createRefusal('BodyTooLarge', 'not-run', {params: {limitBytes}});
}
