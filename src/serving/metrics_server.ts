import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {ServingContext, ServingComponent} from './types.js';
import {createLimitedServer} from './clients/create_limited_server.js';
import {listenOn} from './listen_on.js';
import {updateGauges} from './update_gauges.js';

/** Serves the node's metrics in the Prometheus text format. */
export class MetricsServer implements ServingComponent {
  private readonly server: Server;
  constructor(private readonly context: ServingContext) {
    this.server = createLimitedServer(
      context.clients.connections,
      'metrics',
      (message, response) => this.answer(message, response),
    );
  }

  /** Does nothing when the settings have no address for metrics. */
  async listen(): Promise<void> {
    const address = this.context.settings.listen.metrics;
    if (address !== undefined) await listenOn(this.server, address);
  }

  close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    return Promise.resolve();
  }

  private answer(_message: IncomingMessage, response: ServerResponse): void {
    const {state, metrics, clock} = this.context;
    updateGauges(state, metrics, clock.nowMs());
    void metrics.render().then(text => {
      response.setHeader('content-type', 'text/plain; version=0.0.4');
      response.end(text);
    });
  }
}
