import type {Server} from 'node:http';
import {splitAddress} from '../http/index.js';

/** Opens a server's listener; rejects when the address can't be had. */
export function listenOn(server: Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: 511}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
