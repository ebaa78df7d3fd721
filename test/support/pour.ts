import type {Socket} from 'node:net';

/** Writes the same bytes for as long as the other side takes them. */
export function pour(socket: Socket, bytes: Buffer): void {
  const write = () => {
    while (!socket.destroyed) {
      if (!socket.write(bytes)) return;
    }
  };
  socket.on('drain', write);
  write();
}
