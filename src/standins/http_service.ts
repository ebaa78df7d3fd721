import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** A listener on the loopback address that can vanish and come back on its port. */
export class HttpService {
  private server?: Server;
  private portInUse = 0;

  constructor(private readonly handler: Handler) {}

  get port(): number {
    return this.portInUse;
  }

  get address(): string {
    return `127.0.0.1:${this.portInUse}`;
  }

  /** Opens the listener; port 0 takes a free one, kept for later calls. */
  listen(port = this.portInUse): Promise<void> {
    const server = createServer((request, response) => {
      void this.run(request, response);
    });
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', () => {
        this.portInUse = (server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Drops all connections and stops listening. */
  destroy(): void {
    this.server?.closeAllConnections();
    this.server?.close();
    this.server = undefined;
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.handler(request, response);
    } catch (error) {
      if (response.headersSent) response.destroy();
      else response.writeHead(400).end(String(error));
    }
  }
}
