import {createServer} from 'node:net';
import type {Socket} from 'node:net';

/** Writes the response to a request, whose text is given, to the socket. */
export type RawResponder = (socket: Socket, request: string) => void;

/** An engine whose responses are raw bytes that the test writes. */
export class RawEngine {
  readonly requests: string[] = [];
  closedSocketCount = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer(socket => {
    this.sockets.add(socket);
    let text = '';
    socket.on('error', () => {}); // tests reset connections on purpose
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.closedSocketCount += 1;
    });
    socket.on('data', chunk => {
      text += chunk.toString();
      if (!text.includes('\r\n\r\n')) return;
      const request = text;
      text = '';
      this.requests.push(request);
      this.answer(socket, request);
    });
  });

  constructor(public answer: RawResponder) {}

  listen(): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => {
        const address = this.server.address() as {port: number};
        resolve(`127.0.0.1:${address.port}`);
      });
    });
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}
