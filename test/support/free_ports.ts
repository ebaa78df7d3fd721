import {createServer, type AddressInfo} from 'node:net';

/** Finds loopback ports that were free a moment ago. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({length: count}, listen));
  const ports = servers.map(s => (s.address() as AddressInfo).port);
  await Promise.all(servers.map(s => new Promise(done => s.close(done))));
  return ports;
}

function listen() {
  return new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}
