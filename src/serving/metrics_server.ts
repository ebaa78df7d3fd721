import {createServer} from 'node:http';
import type {ServingContext, ServingComponent} from './types.js';
import {listenOn} from './listen_on.js';
import {updateGauges} from './update_gauges.js';

/** Serves the node's metrics in the Prometheus text format. */
export class MetricsServer implements ServingComponent {
  private readonly server = createServer((_request, response) => {
    const {state, metrics, clock} = this.context;
    updateGauges(state, metrics, clock.nowMs());
    void metrics.render().then(text => {
      response.setHeader('content-type', 'text/plain; version=0.0.4');
      response.end(text);
    });
  });

  constructor(private readonly context: ServingContext) {}

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
}
