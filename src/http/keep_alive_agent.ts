import {Agent} from 'node:http';
import type {ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';

/** HTTP agent that closes an idle keep-alive connection when bytes arrive on it that belong to no request. */
export class KeepAliveAgent extends Agent {
  private isRetired = false;

  /** Closes idle connections now, and those in use when their requests have ended. Unlike this, `destroy` closes all of them at once. */
  retire(): void {
    this.isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Returns whether the connection is kept; the caller closes it otherwise. */
  override keepSocketAlive(socket: Duplex): boolean {
    if (this.isRetired) return false;
    socket.on('data', closeOnUnexpectedData);
    // The type declares no result, but the agent relies on it.
    return super.keepSocketAlive(socket) as unknown as boolean;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', closeOnUnexpectedData);
    super.reuseSocket(socket, request);
  }
}

function closeOnUnexpectedData(this: Duplex): void {
  this.destroy();
}
