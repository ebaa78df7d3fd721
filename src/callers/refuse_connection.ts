import type {Duplex} from 'node:stream';
import type {Refusal} from '../core/errors/index.js';
import type {RequestId} from '../core/ids/index.js';
import type {Settings} from '../settings/types.js';
import {createRefusal} from '../core/errors/index.js';

/**
 * Responds to a request that is malformed, has too large headers or arrives too
 * slowly, and closes the connection.
 */
export function refuseConnection(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  requestId: RequestId,
  limits: Settings['limits'],
): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const {status, body} = createConnectionRefusal(error.code, limits);
  const text = JSON.stringify({error: body});
  const head = [
    `HTTP/1.1 ${status} ${body.title}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(text)}`,
    `rhubarbstile-request-id: ${requestId}`,
    `rhubarbstile-verdict: ${body.verdict}`,
    'connection: close',
  ];
  socket.end([...head, '', text].join('\r\n'));
}

function createConnectionRefusal(
  code: string | undefined,
  {maxHeaderBytes, requestTimeoutMs}: Settings['limits'],
): Refusal {
  if (code === 'HPE_HEADER_OVERFLOW') {
    const params = {limitBytes: maxHeaderBytes};
    return createRefusal('HeadersTooLarge', 'not-run', {params});
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    const params = {timeoutMs: requestTimeoutMs};
    return createRefusal('RequestTooSlow', 'not-run', {params});
  }
  const params = {reason: 'This is not an HTTP/1.1 request.'};
  return createRefusal('BadRequest', 'not-run', {params});
}
