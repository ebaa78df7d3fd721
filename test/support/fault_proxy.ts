import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/**
 * Handling of connections: `pass` forwards all bytes; `refuse` resets new
 * connections; `black-hole` reads bytes and forwards none; `lose-answers` forwards
 * the bytes of clients and drops those of the server.
 */
type FaultMode = 'pass' | 'refuse' | 'black-hole' | 'lose-answers';

interface ProxiedConnection {
  readonly client: Socket;
  readonly server: Socket;
}

/** A TCP proxy in front of one server, with fault injection. */
export class FaultProxy {
  private readonly listener: Server;
  private readonly connections = new Set<ProxiedConnection>();
  private mode: FaultMode = 'pass';
  private delayMs = 0;
  /** Bytes forwarded from clients to the server. */
  clientBytes = 0;
  /** Bytes forwarded from the server to clients. */
  serverBytes = 0;
  /** Bytes of the server that `lose-answers` dropped. */
  droppedBytes = 0;

  private constructor(private readonly targetPort: number) {
    this.listener = createServer(client => this.accept(client));
  }

  /** Starts a proxy in front of a loopback port. */
  static async start(targetPort: number): Promise<FaultProxy> {
    const proxy = new FaultProxy(targetPort);
    await new Promise<void>(resolve => {
      proxy.listener.listen(0, '127.0.0.1', resolve);
    });
    return proxy;
  }

  get port(): number {
    return (this.listener.address() as AddressInfo).port;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Sets the handling of open and new connections. */
  setMode(mode: FaultMode): void {
    this.mode = mode;
  }

  /** Delays bytes in both directions, in milliseconds. */
  setDelay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Resets all open connections. */
  resetConnections(): void {
    this.end(reset);
  }

  /** Closes all open connections in an orderly way, as the kernel does for a process that was killed. */
  endConnections(): void {
    for (const {client} of this.connections) client.end();
  }

  async close(): Promise<void> {
    this.end(socket => socket.destroy());
    await new Promise(resolve => this.listener.close(resolve));
  }

  private end(closeSocket: (socket: Socket) => void): void {
    for (const {client, server} of this.connections) {
      closeSocket(client);
      closeSocket(server);
    }
    this.connections.clear();
  }

  private accept(client: Socket): void {
    if (this.mode === 'refuse') {
      client.resetAndDestroy();
      return;
    }
    const server = connect(this.targetPort, '127.0.0.1');
    const connection = {client, server};
    this.connections.add(connection);
    this.join(connection);
    client.on('data', chunk => this.pass(server, chunk, 'sent'));
    server.on('data', chunk => this.pass(client, chunk, 'answered'));
  }

  private join(connection: ProxiedConnection): void {
    const {client, server} = connection;
    const end = () => {
      this.connections.delete(connection);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    }
  }

  private pass(
    to: Socket,
    chunk: Buffer,
    direction: 'sent' | 'answered',
  ): void {
    if (this.mode === 'black-hole') return;
    if (this.mode === 'lose-answers' && direction === 'answered') {
      this.droppedBytes += chunk.length;
      return;
    }
    if (direction === 'sent') this.clientBytes += chunk.length;
    else this.serverBytes += chunk.length;
    if (this.delayMs === 0) to.write(chunk);
    else setTimeout(() => to.write(chunk), this.delayMs);
  }
}

/**
 * Resets a connection. A socket that is shutting down is closed instead, because
 * resetting it leaves an open handle that keeps the Node.js process from exiting.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
