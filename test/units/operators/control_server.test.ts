import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {NodeContext} from '../../../src/runtime/types.js';
import type {UndatedEvent} from '../../../src/core/events/types.js';
import {ControlServer} from '../../../src/control/index.js';
import {
  OPERATOR_TOKEN,
  createTestSettings,
} from '../../support/create_test_settings.js';
import {OperatorApi, OperatorClient} from '../../../src/operators/index.js';
import {PeerServer} from '../../../src/peers/index.js';
import {callHttp} from '../../support/call_http.js';
import {createNodeMetrics} from '../../../src/metrics/index.js';
import {waitFor} from '../../support/wait_for.js';
import {createNodeState} from '../../../src/core/state/index.js';
import {makeId, type Incarnation} from '../../../src/core/ids/index.js';

let asked: UndatedEvent[];
let control: ControlServer;
let address: string;
let context: NodeContext;

beforeEach(async () => {
  asked = [];
  const settings = await createTestSettings('node-1');
  const incarnation = makeId<Incarnation>('node-1/1');
  context = {
    settings,
    clock: {nowMs: () => 0},
    events: {dispatch: event => answer(event)},
    state: createNodeState({...settings.node, incarnation}, 1),
    logger: {write: () => {}},
    metrics: createNodeMetrics(),
  };
  const operators = new OperatorApi(context);
  const peerServer = new PeerServer(context);
  control = new ControlServer(context, {operators, peerServer});
  await control.listen();
  address = settings.node.controlAddress;

  function answer(event: UndatedEvent): void {
    asked.push(event);
    if (event.type !== 'operatorAsked') return;
    const {operationId, request} = event;
    if (request.kind === 'services') return;
    operators.handle({
      type: 'operatorAnswer',
      operationId,
      answer: {kind: 'ok', data: {node: 'node-1'}},
    });
  }
});

afterEach(() => control.destroy());

const client = (token: string) =>
  new OperatorClient({address, token, operator: 'mere'});

test('a request with the operator token reaches the core with the name of the operator', async () => {
  const answer = await client(OPERATOR_TOKEN).ask({kind: 'status'});
  assert.deepEqual(answer._unsafeUnwrap(), {node: 'node-1'});
  assert.equal(asked[0]!.type, 'operatorAsked');
  assert.equal((asked[0] as {operator?: string}).operator, 'mere');
});

test('a request with a wrong or missing token never reaches the core', async () => {
  const answer = await client('wrong').ask({kind: 'status'});
  const failure = answer._unsafeUnwrapErr();
  assert.equal(failure.kind, 'refused');
  const bare = await callHttp(`http://${address}/operator/status`, {body: ''});
  assert.equal(bare.status, 401);
  assert.equal(JSON.parse(bare.body).error.verdict, 'not-run');
  assert.deepEqual(asked, []);
});

test('requests with a wrong method, path, JSON or field are refused as not run', async () => {
  const headers = {authorization: `Bearer ${OPERATOR_TOKEN}`};
  const call = (path: string, body?: string) =>
    callHttp(`http://${address}/operator/${path}`, {
      headers,
      ...(body !== undefined && {body}),
    });
  const answers = [
    await call('status'),
    await call('statsu', '{}'),
    await call('status', '{'),
    await call('audit', '{"limit": "ten"}'),
    await call('publish', JSON.stringify({files: 'x'.repeat(5_000_000)})),
  ];
  const names = answers.map(({body}) => JSON.parse(body).error.name);
  assert.deepEqual(names, [
    'MethodNotAllowed',
    'PathNotFound',
    'BadRequest',
    'BadRequest',
    'BodyTooLarge',
  ]);
  for (const {headers: given} of answers) {
    assert.equal(given['rhubarbstile-verdict'], 'not-run');
  }
  assert.deepEqual(asked, []);
});

test('health, readiness and metrics need no token', async () => {
  const get = (path: string) => callHttp(`http://${address}${path}`);
  assert.equal((await get('/healthz')).status, 200);
  const unready = await get('/readyz');
  assert.equal(unready.status, 503);
  assert.match(JSON.parse(unready.body).reason, /no configuration/);
  context.state.config.document = {
    ...context.state.config.document,
    revision: 3,
  };
  assert.equal((await get('/readyz')).status, 200);
  context.state.drain.draining = true;
  assert.match((await get('/readyz')).body, /draining/);
  assert.equal((await get('/metrics')).status, 200);
  assert.equal((await get('/nowhere')).status, 404);
});

test('close completes while a connection waits for a response that is never sent', async () => {
  const held = client(OPERATOR_TOKEN).ask({kind: 'services'});
  await waitFor('the request', () => asked.length > 0);
  const closed = control.close().then(() => 'closed');
  const late = new Promise(resolve => {
    setTimeout(resolve, 5000, 'late').unref();
  });
  assert.equal(await Promise.race([closed, late]), 'closed');
  assert.equal((await held)._unsafeUnwrapErr().kind, 'unreachable');
});
