import type {IncomingMessage, ServerResponse} from 'node:http';
import type {NodeContext} from '../runtime/types.js';
import {resolveEntries} from '../core/entries/index.js';
import {resolveReadiness} from '../control/resolve_readiness.js';
import {sendJson} from '../http/index.js';

/** Handles `/v1/entries`, `/healthz` and `/readyz`; false for any other request. */
export function sendInfo(
  context: NodeContext,
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  if (request.method !== 'GET') return false;
  const url = request.url ?? '';
  if (url === '/v1/entries' || url.startsWith('/v1/entries?')) {
    sendEntries(context, url, response);
  } else if (url === '/healthz') {
    sendJson(response, 200, {alive: true});
  } else if (url === '/readyz') {
    const readiness = resolveReadiness(context.state, context.clock.nowMs());
    sendJson(response, readiness.ready ? 200 : 503, readiness);
  } else {
    return false;
  }
  return true;
}

function sendEntries(
  {state, clock}: NodeContext,
  url: string,
  response: ServerResponse,
): void {
  const at = url.indexOf('?');
  const query = new URLSearchParams(at < 0 ? '' : url.slice(at));
  const service = query.get('service');
  const organisation = query.get('organisation');
  const filter = {
    ...(service && {service}),
    ...(organisation && {organisation}),
  };
  sendJson(response, 200, resolveEntries(state, filter, clock.nowMs()));
}
