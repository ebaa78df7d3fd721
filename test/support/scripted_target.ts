import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** A request that the target has received completely. */
interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: string;
  /** Index of the request at this target, from 0. */
  readonly index: number;
}

type Script = (seen: ReceivedRequest) => void;

/** A target that answers every request by a script of the test. */
export class ScriptedTarget {
  readonly receivedRequests: ReceivedRequest[] = [];
  /** Count of the requests whose connection closed before their response was complete. */
  cancelled = 0;
  readonly sockets = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly script: Script) {
    this.server = createServer((request, response) => {
      this.receive(request, response);
    });
    this.server.on('connection', socket => this.sockets.add(socket));
  }

  static async start(script: Script): Promise<ScriptedTarget> {
    const target = new ScriptedTarget(script);
    await new Promise<void>(resolve => {
      target.server.listen(0, '127.0.0.1', resolve);
    });
    return target;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const index = this.receivedRequests.length;
    let body = '';
    response.on('close', () => {
      if (!response.writableFinished) this.cancelled += 1;
    });
    request.on('data', (chunk: Buffer) => (body += chunk.toString()));
    request.on('end', () => {
      const seen = {request, response, body, index};
      this.receivedRequests.push(seen);
      this.script(seen);
    });
  }
}
