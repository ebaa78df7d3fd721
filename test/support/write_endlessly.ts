import type {Socket} from 'node:net';

/** Writes the same bytes repeatedly, respecting back-pressure, until the socket is destroyed. */
export function writeEndlessly(socket: Socket, bytes: Buffer): void {
  const write = () => {
    while (!socket.destroyed) {
      if (!socket.write(bytes)) return;
    }
  };
  socket.on('drain', write);
  write();
}
