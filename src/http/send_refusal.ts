import type {Refusal} from '../core/errors/types.js';
import type {ServerResponse} from 'node:http';
import {sendJson} from './send_json.js';

/** Sends an error response on the control address; `details` adds what the error catalogue's fixed text can't contain. */
export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  details?: unknown,
): void {
  const {status, body} = refusal;
  sendJson(
    response,
    status,
    {error: body, ...(details === undefined ? {} : {details})},
    {'rhubarbstile-verdict': body.verdict},
  );
}
