import {createServer, type AddressInfo, type Server} from 'node:net';

const HOST = '127.0.0.1';

/** Finds free loopback ports; another process may take them before they are used. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({length: count}, listen));
  const ports = servers.map(one => (one.address() as AddressInfo).port);
  await Promise.all(
    servers.map(one => new Promise<void>(done => one.close(() => done()))),
  );
  return ports;
}

function listen(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(server));
  });
}
