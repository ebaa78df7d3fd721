import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Hop-by-hop headers, and headers that this node sets or consumes itself. */
const EXCLUDED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-attempt-id',
  'x-not-run',
  'x-request-priority',
  'x-target-state',
]);
const RESERVED_PREFIX = 'rhubarbstile-';

/**
 * Copies the end-to-end headers between caller and target; headers that
 * `connection` lists are left out as hop-by-hop.
 */
export function selectEndToEndHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const copied: OutgoingHttpHeaders = {};
  const {connection} = headers;
  const connectionHeaders =
    connection === undefined || connection.length < 11
      ? undefined
      : connection.toLowerCase().split(/\s*,\s*/);
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || EXCLUDED_HEADERS.has(name)) continue;
    if (name.startsWith(RESERVED_PREFIX) || connectionHeaders?.includes(name))
      continue;
    copied[name] = value;
  }
  return copied;
}
