import {createServer} from 'node:http';
import type {RequestListener, Server, ServerOptions} from 'node:http';
import type {ConnectionTable} from './connection_table.js';
import type {ListenerName} from './types.js';

/** Time for a complete head, as the platform's `header-timeout-ms`. */
const HEADERS_TIMEOUT_MS = 3000;
/** Interval at which the server looks for connections that exceed it. */
const CHECK_INTERVAL_MS = 1000;
/** Clients reuse connections that were idle for less. */
const IDLE_TIMEOUT_MS = 15_000;

const OPTIONS: ServerOptions = {
  headersTimeout: HEADERS_TIMEOUT_MS,
  connectionsCheckingInterval: CHECK_INTERVAL_MS,
  keepAliveTimeout: IDLE_TIMEOUT_MS,
  requestTimeout: 0,
  noDelay: true,
};

/** Creates an HTTP server whose connections are limited together with those of the other listeners. */
export function createLimitedServer(
  connections: ConnectionTable,
  listener: ListenerName,
  handle: RequestListener,
  options: ServerOptions = {},
): Server {
  const server = createServer({...OPTIONS, ...options}, (request, response) => {
    if (connections.begin(request, response)) handle(request, response);
  });
  server.on('connection', socket => connections.admit(listener, socket));
  return server;
}
