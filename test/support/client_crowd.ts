import {connect} from 'node:net';
import type {Socket} from 'node:net';

/** A client whose connection was ended opens another one after this time. */
const RECONNECT_MS = 200;
/** Connections that are opened at once; more would overflow the backlog of a listener. */
const OPENED_AT_ONCE = 100;
const OPENING_PAUSE_MS = 10;

interface CrowdOptions {
  readonly address: string;
  readonly count: number;
  /** Writes what a client sends on a new connection. */
  readonly write?: (socket: Socket) => void;
  /** Whether clients read what they are sent; they leave it unread otherwise. */
  readonly isReading?: boolean;
}

/** Clients on raw connections that misbehave until `close`. */
export class ClientCrowd {
  private readonly sockets = new Set<Socket>();
  private isClosed = false;

  private constructor(private readonly options: CrowdOptions) {}

  /** Opens the connections of all clients; settles when each has been tried. */
  static async open(options: CrowdOptions): Promise<ClientCrowd> {
    const crowd = new ClientCrowd(options);
    for (let at = 0; at < options.count; at++) {
      crowd.connect();
      if (at % OPENED_AT_ONCE === OPENED_AT_ONCE - 1) {
        await new Promise(resolve => setTimeout(resolve, OPENING_PAUSE_MS));
      }
    }
    return crowd;
  }

  close(): void {
    this.isClosed = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private connect(): void {
    if (this.isClosed) return;
    const {address, write, isReading} = this.options;
    const [host, port] = address.split(':') as [string, string];
    const socket = connect(Number(port), host, () => write?.(socket));
    this.sockets.add(socket);
    if (isReading === true) socket.resume();
    else socket.pause();
    socket.on('error', () => {}); // the node may end the connection
    socket.on('close', () => {
      this.sockets.delete(socket);
      setTimeout(() => this.connect(), RECONNECT_MS).unref();
    });
  }
}
