import {Agent} from 'node:http';
import type {ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';

/** Keeps connections between requests, and ends one on which bytes come that nobody asked for. */
export class KeptAgent extends Agent {
  override keepSocketAlive(socket: Duplex): void {
    socket.on('data', endUnasked);
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', endUnasked);
    super.reuseSocket(socket, request);
  }
}

function endUnasked(this: Duplex): void {
  this.destroy();
}
