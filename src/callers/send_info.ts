import type {IncomingMessage, ServerResponse} from 'node:http';
import type {NodeContext} from '../runtime/types.js';
import {resolveEntries} from '../core/entries/index.js';

/** Answers `/v1/entries`, `/healthz` and `/readyz`; false when the path is another. */
export function sendInfo(
  context: NodeContext,
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  const url = request.url ?? '';
  if (request.method !== 'GET') return false;
  if (url === '/v1/entries' || url.startsWith('/v1/entries?')) {
    sendEntries(context, url, response);
    return true;
  }
  if (url === '/healthz') {
    sendJson(response, 200, {alive: true});
    return true;
  }
  if (url === '/readyz') {
    sendReady(context, response);
    return true;
  }
  return false;
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
  const answer = resolveEntries(
    state,
    {...(service && {service}), ...(organisation && {organisation})},
    clock.nowMs(),
  );
  sendJson(response, 200, answer);
}

function sendReady({state}: NodeContext, response: ServerResponse): void {
  if (state.drain.draining) {
    sendJson(response, 503, {ready: false, reason: 'the node is leaving'});
  } else if (state.config.document.revision === 0) {
    const reason = 'no configuration has been received yet';
    sendJson(response, 503, {ready: false, reason});
  } else {
    sendJson(response, 200, {ready: true});
  }
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
