import type {ServerResponse} from 'node:http';

/** Sends a whole JSON answer, unless the other side has gone. */
export function sendJson(
  response: ServerResponse,
  status: number,
  data: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(JSON.stringify(data));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  });
  response.end(body);
}
