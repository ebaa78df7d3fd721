import type {ServerResponse} from 'node:http';

/** Sends a complete JSON response. Does nothing when a head was sent already or the connection is closed. */
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
