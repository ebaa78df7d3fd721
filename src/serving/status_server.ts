import {createServer} from 'node:http';
import type {ServingContext, ServingComponent} from './types.js';
import {isReady} from '../core/serving/index.js';
import {listenOn} from './listen_on.js';

/** Serves readiness checks: 200 when this node accepts callers, otherwise 503. */
export class StatusServer implements ServingComponent {
  private readonly server = createServer((_request, response) => {
    const {state, clock} = this.context;
    response.sendDate = false;
    response.writeHead(isReady(state, clock.nowMs()) ? 200 : 503).end();
  });

  constructor(private readonly context: ServingContext) {}

  listen(): Promise<void> {
    return listenOn(this.server, this.context.settings.listen.ready);
  }

  close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    return Promise.resolve();
  }
}
