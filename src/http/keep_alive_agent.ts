import {Agent} from 'node:http';
import type {ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';

/** HTTP agent that closes an idle keep-alive connection when bytes arrive on it that belong to no request. */
export class KeepAliveAgent extends Agent {
  override keepSocketAlive(socket: Duplex): void {
    socket.on('data', closeOnUnexpectedData);
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', closeOnUnexpectedData);
    super.reuseSocket(socket, request);
  }
}

function closeOnUnexpectedData(this: Duplex): void {
  this.destroy();
}
