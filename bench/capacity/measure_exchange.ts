import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {NodeContext} from '../../src/runtime/types.js';
import type {NodeId} from '../../src/core/ids/index.js';
import {PeerClient, PeerServer} from '../../src/peers/index.js';
import {createNodeState} from '../../src/core/state/index.js';
import {createStanding} from '../../src/core/membership/create_standing.js';
import {makeId} from '../../src/core/ids/index.js';

interface ExchangeCost {
  /** Bytes on the socket in both directions, including headers. */
  readonly bytes: number;
  readonly messageBytes: number;
  /** Processor time of both ends together, in microseconds. */
  readonly cpuUs: number;
}

const WARM_UP = 500;
const MEASURED = 3000;

/** Sends heartbeats over loopback, one per exchange, and measures bytes and processor time. */
export async function measureExchange(): Promise<ExchangeCost> {
  let notifyArrival = () => {};
  const server = new PeerServer(createContext(() => notifyArrival()));
  const sockets = new Set<Socket>();
  const http = createServer((request, response) =>
    server.serve(request, response),
  );
  http.on('connection', socket => sockets.add(socket));
  await new Promise<void>(done => http.listen(0, '127.0.0.1', done));
  const {port} = http.address() as AddressInfo;
  const client = new PeerClient(createContext(() => {}));
  const to = makeId<NodeId>('peer');
  const address = `127.0.0.1:${port}`;
  client.handle({type: 'setPeers', peers: [{nodeId: to, address}]});
  const message = createHeartbeat();
  const send = () =>
    new Promise<void>(done => {
      notifyArrival = done;
      client.handle({type: 'peerSend', to, message, urgent: true});
    });
  for (let at = 0; at < WARM_UP; at++) await send();
  const before = process.cpuUsage();
  for (let at = 0; at < MEASURED; at++) await send();
  const {user, system} = process.cpuUsage(before);
  const bytes = [...sockets].reduce(
    (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
    0,
  );
  await client.close();
  server.destroy();
  await new Promise(done => http.close(done));
  return {
    bytes: bytes / (WARM_UP + MEASURED),
    messageBytes: JSON.stringify(message).length,
    cpuUs: (user + system) / MEASURED,
  };
}

function createHeartbeat() {
  const state = createNodeState(
    {
      nodeId: makeId('node-000'),
      incarnation: makeId('node-000/0123456789ab'),
      zone: makeId('zone-0'),
      region: 'region',
      callerAddress: '10.0.0.10:8080',
      controlAddress: '10.0.0.10:8081',
      roles: {
        entry: true,
        relay: true,
        observer: true,
        broker: true,
        steward: true,
      },
    },
    1,
  );
  const standing = createStanding(state, 0);
  return {type: 'membership.heartbeat', standing, heardSequence: 1} as const;
}

function createContext(onEvent: () => void): NodeContext {
  return {
    settings: {
      node: {nodeId: 'node-000'},
      secrets: {peerSecret: 'secret-of-the-benchmark'},
    },
    events: {dispatch: onEvent},
    metrics: {count: () => {}},
  } as unknown as NodeContext;
}
