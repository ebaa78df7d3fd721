import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {ServingContext, ServingComponent} from './types.js';
import {isReady} from '../core/serving/index.js';
import {createLimitedServer} from './clients/create_limited_server.js';
import {listenOn} from './listen_on.js';

/** Serves readiness checks: 200 when this node accepts callers, otherwise 503. */
export class StatusServer implements ServingComponent {
  private readonly server: Server;
  constructor(private readonly context: ServingContext) {
    this.server = createLimitedServer(
      context.clients.connections,
      'ready',
      (message, response) => this.answer(message, response),
    );
  }

  listen(): Promise<void> {
    return listenOn(this.server, this.context.settings.listen.ready);
  }

  close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    return Promise.resolve();
  }

  private answer(_message: IncomingMessage, response: ServerResponse): void {
    const {state, clock} = this.context;
    response.sendDate = false;
    response.writeHead(isReady(state, clock.nowMs()) ? 200 : 503).end();
  }
}
