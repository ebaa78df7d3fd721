import {createServer} from 'node:net';

// Below the ephemeral port range, so that no outgoing connection takes a port
// between its check and its use.
const FIRST_PORT = 10_000;
const RANGES = 200;
const PORTS_PER_RANGE = 100;

let next = 0;

/** Finds loopback ports that are free at the time of the check; each process searches a range of its own. */
export async function findUnusedPorts(count: number): Promise<number[]> {
  const base = FIRST_PORT + (process.pid % RANGES) * PORTS_PER_RANGE;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = base + (next++ % PORTS_PER_RANGE);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
