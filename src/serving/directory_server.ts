import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {ServingContext, ServingComponent} from './types.js';
import {createLimitedServer} from './clients/create_limited_server.js';
import {listenOn} from './listen_on.js';
import {resolveEntries} from '../core/serving/index.js';

/** How long callers may cache a response: short enough that they stop using a lost node within seconds, long enough to keep the load low. */
const CACHE_TTL_MS = 2000;

/** Serves the addresses of the nodes that accept requests to callers. Responds with 503 while this node can't determine them. */
export class DirectoryServer implements ServingComponent {
  private readonly server: Server;
  constructor(private readonly context: ServingContext) {
    this.server = createLimitedServer(
      context.clients.connections,
      'directory',
      (message, response) => this.answer(message, response),
    );
  }

  listen(): Promise<void> {
    return listenOn(this.server, this.context.settings.listen.directory);
  }

  close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    return Promise.resolve();
  }

  private answer(message: IncomingMessage, response: ServerResponse): void {
    const {wire, state, clock, settings} = this.context;
    response.sendDate = false;
    const [path, query] = (message.url ?? '').split('?');
    if (path !== wire.directory.path) {
      response.writeHead(404).end();
      return;
    }
    const addresses = resolveEntries(
      state,
      clock.nowMs(),
      wire.directory.readZone(query ?? ''),
    );
    if (!addresses) {
      response.writeHead(503).end();
      return;
    }
    const keepMs = Math.min(CACHE_TTL_MS, settings.maxKeepMs);
    const body = wire.directory.writeAddresses(addresses, keepMs);
    response
      .writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      })
      .end(body);
  }
}
