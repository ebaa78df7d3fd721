import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Refusal} from '../core/errors/index.js';
import type {Settings} from '../settings/types.js';
import {createRefusal} from '../core/errors/index.js';

const NO_BODY = Buffer.alloc(0);

/** Reads a request's body within the limits on size and time; not called back when the caller leaves. */
export function readBody(
  request: IncomingMessage,
  limits: Settings['limits'],
  done: (result: Result<Buffer, Refusal>) => void,
): void {
  const {maxBodyBytes, requestTimeoutMs} = limits;
  const stated = Number(request.headers['content-length'] ?? 0);
  if (stated > maxBodyBytes) {
    done(err(refuseLarge(maxBodyBytes)));
    return;
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  const timer = setTimeout(() => {
    const params = {timeoutMs: requestTimeoutMs};
    settle(err(createRefusal('RequestTooSlow', 'not-run', {params})));
  }, requestTimeoutMs);
  const onData = (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBodyBytes) settle(err(refuseLarge(maxBodyBytes)));
    else chunks.push(chunk);
  };
  const onEnd = () => {
    settle(ok(chunks.length === 1 ? chunks[0]! : joinChunks(chunks)));
  };
  const stop = () => {
    clearTimeout(timer);
    request.off('data', onData);
    request.off('end', onEnd);
    request.off('close', stop);
  };
  const settle = (result: Result<Buffer, Refusal>) => {
    stop();
    chunks.length = 0;
    done(result);
  };
  request.on('data', onData);
  request.on('end', onEnd);
  request.on('close', stop);
}

function joinChunks(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 0 ? NO_BODY : Buffer.concat(chunks);
}

function refuseLarge(limitBytes: number): Refusal {
  return createRefusal('BodyTooLarge', 'not-run', {params: {limitBytes}});
}
