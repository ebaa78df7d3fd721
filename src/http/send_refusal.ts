import type {Refusal} from '../core/errors/types.js';
import type {ServerResponse} from 'node:http';
import {sendJson} from './send_json.js';

/** Sends a refusal on the control address; `details` says more than the catalogue can. */
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
