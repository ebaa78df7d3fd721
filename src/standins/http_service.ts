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

/** HTTP server on the loopback address that can be destroyed and restarted on the same port. */
export class HttpService {
  private server?: Server;
  private boundPort = 0;

  constructor(private readonly handler: Handler) {}

  get port(): number {
    return this.boundPort;
  }

  get address(): string {
    return `127.0.0.1:${this.boundPort}`;
  }

  /** Starts listening; port 0 selects a free port, which later calls reuse. Rejects when the port is in use. */
  listen(port = this.boundPort): Promise<void> {
    const server = createServer((request, response) => {
      void this.run(request, response);
    });
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', () => {
        this.boundPort = (server.address() as AddressInfo).port;
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
