import type {Server} from 'node:http';
import {splitAddress} from '../http/index.js';

/** Starts listening on `host:port`; rejects when the address can't be bound. */
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
