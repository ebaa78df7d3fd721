import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Headers that concern one connection, or that this node sets or consumes itself. */
const OWN_HEADERS = new Set([
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
const OWN_PREFIX = 'rhubarbstile-';

/** Copies the headers that go end to end, between caller and target. */
export function passOnHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const passed: OutgoingHttpHeaders = {};
  const {connection} = headers;
  const named =
    connection === undefined || connection.length < 11
      ? undefined
      : connection.toLowerCase().split(/\s*,\s*/);
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || OWN_HEADERS.has(name)) continue;
    if (name.startsWith(OWN_PREFIX) || named?.includes(name)) continue;
    passed[name] = value;
  }
  return passed;
}
