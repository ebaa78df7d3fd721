import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/**
 * What happens to connections:
 * `pass`; `refuse` resets new ones; `black-hole` takes bytes and passes none on;
 * `lose-answers` passes what clients send and nothing that comes back.
 */
type FaultMode = 'pass' | 'refuse' | 'black-hole' | 'lose-answers';

interface Link {
  readonly client: Socket;
  readonly server: Socket;
}

/** A TCP proxy before one server, whose faults a test switches. */
export class FaultProxy {
  private readonly listener: Server;
  private readonly links = new Set<Link>();
  private mode: FaultMode = 'pass';
  private delayMs = 0;
  /** Bytes passed from clients to the server, and back. */
  sentBytes = 0;
  answeredBytes = 0;
  /** Bytes of answers that were passed to nobody. */
  lostBytes = 0;

  private constructor(private readonly targetPort: number) {
    this.listener = createServer(client => this.accept(client));
  }

  /** Starts a proxy before a loopback port. */
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

  /** Sets the fault for open and new connections. */
  setMode(mode: FaultMode): void {
    this.mode = mode;
  }

  /** Delays bytes in both directions. */
  setDelay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Resets all open connections. */
  cut(): void {
    this.end(reset);
  }

  async close(): Promise<void> {
    this.end(socket => socket.destroy());
    await new Promise(resolve => this.listener.close(resolve));
  }

  private end(endSocket: (socket: Socket) => void): void {
    for (const {client, server} of this.links) {
      endSocket(client);
      endSocket(server);
    }
    this.links.clear();
  }

  private accept(client: Socket): void {
    if (this.mode === 'refuse') {
      client.resetAndDestroy();
      return;
    }
    const server = connect(this.targetPort, '127.0.0.1');
    const link = {client, server};
    this.links.add(link);
    this.join(link);
    client.on('data', chunk => this.pass(server, chunk, 'sent'));
    server.on('data', chunk => this.pass(client, chunk, 'answered'));
  }

  private join(link: Link): void {
    const {client, server} = link;
    const end = () => {
      this.links.delete(link);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    }
  }

  private pass(to: Socket, chunk: Buffer, way: 'sent' | 'answered'): void {
    if (this.mode === 'black-hole') return;
    if (this.mode === 'lose-answers' && way === 'answered') {
      this.lostBytes += chunk.length;
      return;
    }
    if (way === 'sent') this.sentBytes += chunk.length;
    else this.answeredBytes += chunk.length;
    if (this.delayMs === 0) to.write(chunk);
    else setTimeout(() => to.write(chunk), this.delayMs);
  }
}

/**
 * Resets a connection. A socket that is shutting down is closed instead: its
 * reset leaves a handle for which Node.js waits for ever when the process ends.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
