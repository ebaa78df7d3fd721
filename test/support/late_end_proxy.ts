import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/**
 * A path to an engine on which the end of the first request's connection
 * arrives late, as after a lost packet. Once the engine has ended, new
 * connections are refused.
 */
export class LateEndProxy {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private hasFirst = false;

  private constructor(
    private readonly targetPort: number,
    private readonly delayMs: number,
  ) {
    this.server = createServer({allowHalfOpen: true}, socket =>
      this.accept(socket),
    );
  }

  static async start(
    targetPort: number,
    delayMs: number,
  ): Promise<LateEndProxy> {
    const proxy = new LateEndProxy(targetPort, delayMs);
    await new Promise<void>(resolve => {
      proxy.server.listen(0, '127.0.0.1', resolve);
    });
    return proxy;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(client: Socket): void {
    const engine = connect({
      host: '127.0.0.1',
      port: this.targetPort,
      allowHalfOpen: true,
    });
    let isRequest = false;
    let isLate = false;
    for (const socket of [client, engine]) {
      this.sockets.add(socket);
      socket.on('error', () => {}); // the processes at both ends are killed
      socket.on('close', () => this.sockets.delete(socket));
    }
    client.on('data', (chunk: Buffer) => {
      if (!isRequest && chunk.toString().startsWith('POST')) {
        isRequest = true;
        isLate = !this.hasFirst;
        this.hasFirst = true;
      }
      engine.write(chunk);
    });
    engine.on('data', chunk => client.write(chunk));
    engine.on('end', () => {
      if (isRequest) this.server.close();
      if (isLate) setTimeout(() => client.end(), this.delayMs).unref();
      else client.end();
    });
    client.on('end', () => engine.end());
  }
}
