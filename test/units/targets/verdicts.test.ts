import assert from 'node:assert/strict';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {RequestNode} from '../../support/request_node.js';
import {ScriptedTarget} from '../../support/scripted_target.js';
import {findUnusedPorts} from '../../support/find_unused_ports.js';
import {waitFor} from '../../support/wait_for.js';

const SILENCE_MS = 300;
const CONNECTED_MS = 100;

let node: RequestNode;
const closing: {close(): unknown}[] = [];

beforeEach(async () => {
  const limits = {targetSilenceMs: SILENCE_MS};
  node = await RequestNode.start({limits, timeoutMs: 10_000});
  closing.push(node);
});

afterEach(() => {
  for (const one of closing.splice(0)) one.close();
});

async function addScripted(
  service: string,
  id: string,
  script: Parameters<typeof ScriptedTarget.start>[0],
): Promise<ScriptedTarget> {
  const target = await ScriptedTarget.start(script);
  closing.push(target);
  node.addTarget(service, id, target.address);
  return target;
}

/** Adds a TCP server as a target that handles each connection in the given way. */
async function addRaw(
  service: string,
  accept: (socket: Socket) => void,
): Promise<Server> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    accept(socket);
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  closing.push(server);
  const {port} = server.address() as AddressInfo;
  node.addTarget(service, 'raw', `127.0.0.1:${port}`);
  return server;
}

test('no connection to the target: not-run at once, with a retry time', async () => {
  const [port] = await findUnusedPorts(1);
  node.addTarget('orders', 'gone', `127.0.0.1:${port}`);
  const answer = await node.order('k');
  assert.equal(answer.headers['rhubarbstile-verdict'], 'not-run');
  assert.equal(answer.headers['retry-after'], '1');
  const {error} = JSON.parse(answer.body);
  assert.equal(error.name, 'NoTargetAvailable');
  assert.equal(error.retryAfterMs, 1000);
});

test('a reset before the target read any byte of the request: may-have-run', async () => {
  await addRaw('orders', socket => {
    socket.pause();
    setTimeout(() => socket.resetAndDestroy(), CONNECTED_MS);
  });
  const answer = await node.order('k');
  assert.equal(answer.headers['rhubarbstile-verdict'], 'may-have-run');
});

test('a reset while the target reads the request: may-have-run', async () => {
  await addRaw('orders', socket => {
    socket.once('data', () => socket.resetAndDestroy());
  });
  const answer = await node.order('k');
  assert.equal(answer.headers['rhubarbstile-verdict'], 'may-have-run');
});

test('a reset after the whole request: may-have-run, without a retry', async () => {
  const reset = ({request}: {request: {socket: Socket}}) =>
    request.socket.resetAndDestroy();
  const targets = [
    await addScripted('orders', 'a', reset),
    await addScripted('orders', 'b', reset),
  ];
  const answer = await node.order('k');
  assert.equal(answer.headers['rhubarbstile-verdict'], 'may-have-run');
  assert.equal(
    targets[0]!.receivedRequests.length + targets[1]!.receivedRequests.length,
    1,
  );
});

test('a target that accepts the request and stops responding: may-have-run after the silence limit', async () => {
  const target = await addScripted('orders', 'a', () => {});
  const answer = await node.order('k');
  const {error} = JSON.parse(answer.body);
  assert.equal(error.verdict, 'may-have-run');
  assert.match(error.name, /MayHaveRun/);
  await waitFor(
    'the cancellation of the request',
    () => target.cancelled === 1,
  );
});

test('a target that answers x-not-run: the request is sent to another target', async () => {
  const calledIds: string[] = [];
  for (const id of ['a', 'b']) {
    await addScripted('orders', id, ({response}) => {
      calledIds.push(id);
      if (calledIds.length > 1) response.end('taken');
      else response.writeHead(503, {'x-not-run': 'true'}).end();
    });
  }
  const answer = await node.order('k');
  assert.equal(answer.body, 'taken');
  assert.deepEqual(calledIds.sort(), ['a', 'b']);
});

test('every target answers x-not-run: not-run, with their Retry-After', async () => {
  await addScripted('orders', 'a', ({response}) => {
    response.writeHead(429, {'x-not-run': 'true', 'retry-after': '7'}).end();
  });
  const answer = await node.order('k');
  assert.equal(answer.headers['rhubarbstile-verdict'], 'not-run');
  assert.equal(answer.headers['retry-after'], '7');
});

test('a 503 without x-not-run is the answer of the service', async () => {
  const target = await addScripted('orders', 'a', ({response}) => {
    response.writeHead(503).end('closed on Sundays');
  });
  const first = await node.order('k');
  const again = await node.order('k');
  assert.equal(first.status, 503);
  assert.equal(first.body, 'closed on Sundays');
  assert.equal(again.body, 'closed on Sundays');
  assert.equal(target.receivedRequests.length, 1);
});

test('a kept-alive connection that the target closes: a repeatable request is retried', async () => {
  const target = await addScripted(
    'stock',
    'a',
    ({request, response, index}) => {
      if (index === 1) request.socket.resetAndDestroy();
      else response.end(`stock ${index}`);
    },
  );
  const first = await node.call('/services/stock/list');
  const second = await node.call('/services/stock/list');
  assert.equal(first.body, 'stock 0');
  assert.equal(second.body, 'stock 2');
  assert.equal(target.sockets.size, 2);
});

test('unrepeatable requests each have a connection of their own', async () => {
  const target = await addScripted('orders', 'a', ({response}) => {
    response.end('taken');
  });
  await node.order('k1');
  await node.order('k2');
  assert.equal(target.sockets.size, 2);
  assert.equal(
    target.receivedRequests[0]!.request.headers['idempotency-key'],
    'k1',
  );
  assert.equal(
    target.receivedRequests[0]!.request.headers.authorization,
    undefined,
  );
});
