import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {Entry} from '../core/entries/types.js';
import type {Refusal} from '../core/errors/index.js';
import type {RequestId} from '../core/ids/index.js';

/** Sends a refusal as the complete response, with alternative entries when given. */
export function sendRefusal(
  response: ServerResponse,
  requestId: RequestId,
  refusal: Refusal,
  entries?: readonly Entry[],
): void {
  const {status, body} = refusal;
  const text = JSON.stringify({error: body, ...(entries && {entries})});
  const {retryAfterMs} = body;
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    'rhubarbstile-request-id': requestId,
    'rhubarbstile-verdict': body.verdict,
  };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / 1000));
  }
  response.writeHead(status, headers);
  response.end(text);
}
