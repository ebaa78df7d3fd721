import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AuditAnswer} from '../../../src/core/operators/types.js';
import type {SelfState} from '../../../src/core/state/types.js';
import type {VirtualNode} from '../../../src/replay/index.js';
import {
  VirtualNetwork,
  VirtualStore,
  VirtualWorld,
} from '../../../src/replay/index.js';
import {makeId, type OperationId} from '../../../src/core/ids/index.js';
import {recordAudit} from '../../../src/core/audit/index.js';

const MAX_VALUE_BYTES = 1024 * 1024;
const MAX_KEYS = 64;

function createSelf(name: string): SelfState {
  const off = {
    entry: true,
    relay: false,
    observer: false,
    broker: false,
    steward: false,
  };
  return {
    nodeId: makeId(name),
    incarnation: makeId(`${name}/1`),
    zone: makeId('zone-a'),
    region: 'waikato',
    callerAddress: '',
    controlAddress: '',
    roles: off,
  };
}

function createWorld() {
  const world = new VirtualWorld(1000);
  const store = new VirtualStore(world);
  world.addFake(store);
  world.addFake(new VirtualNetwork(world));
  const answers: AuditAnswer[] = [];
  world.addFake({
    types: ['operatorAnswer'],
    handle: (_node, effect) => {
      if (effect.type !== 'operatorAnswer') return;
      const {answer} = effect;
      if (answer.kind === 'ok') answers.push(answer.data as AuditAnswer);
    },
  });
  const nodes = ['node-1', 'node-2', 'node-3'].map((name, at) =>
    world.addNode(createSelf(name), at + 1),
  );
  for (const node of nodes) node.start();
  return {world, store, nodes, answers};
}

function record(node: VirtualNode, subject: string, who = 'system'): void {
  const nowMs = Math.max(node.state.membership.lastTickAtMs, 0);
  recordAudit(
    {state: node.state, nowMs, effects: []},
    {who, action: who === 'system' ? 'order' : 'publish', subject},
  );
}

function requestTrail(node: VirtualNode, limit = 10_000): void {
  node.dispatch({
    type: 'operatorAsked',
    operationId: makeId<OperationId>('op-1'),
    operator: 'mere',
    request: {kind: 'audit', limit},
  });
}

test('any node returns the records of all nodes in chronological order', () => {
  const {world, nodes, answers} = createWorld();
  for (const [at, name] of ['first', 'second', 'third'].entries()) {
    record(nodes[at]!, name);
    world.time.runUntil(world.time.nowMs + 10);
  }
  world.time.runUntil(10_000);
  requestTrail(nodes[2]!);
  requestTrail(nodes[0]!, 2);
  world.time.runUntil(11_000);
  const subjects = answers.map(({records}) => records.map(r => r.subject));
  assert.deepEqual(subjects, [
    ['first', 'second', 'third'],
    ['second', 'third'],
  ]);
  assert.equal(answers[0]!.waiting, 0);
});

test('a lost response to a write does not duplicate records', () => {
  const {world, store, nodes, answers} = createWorld();
  store.fault = (_node, operation) =>
    operation.kind === 'compareAndSwap' &&
    operation.key.startsWith('audit/') &&
    world.time.nowMs < 8000
      ? 'lose-answer'
      : 'none';
  record(nodes[0]!, 'before');
  world.time.runUntil(5000);
  record(nodes[0]!, 'meanwhile');
  world.time.runUntil(30_000);
  requestTrail(nodes[1]!);
  world.time.runUntil(31_000);
  const subjects = answers[0]!.records.map(one => one.subject);
  assert.deepEqual(subjects, ['before', 'meanwhile']);
  const [segment] = store.platform.list('audit/');
  const written = JSON.parse(segment!.value).records as {subject: string}[];
  assert.deepEqual(
    written.map(one => one.subject),
    ['before', 'meanwhile'],
  );
});

test('records are kept through a store outage up to a bound, those of operators first', () => {
  const {world, store, nodes, answers} = createWorld();
  store.fault = () => 'unavailable';
  record(nodes[0]!, 'chat', 'mere');
  for (let at = 0; at < 3000; at++) record(nodes[0]!, `vm-${at}`);
  world.time.runUntil(600_000);
  assert.equal(nodes[0]!.state.audit.waiting.length, 1000);
  assert.equal(nodes[0]!.state.audit.dropped, 2001);
  store.fault = () => 'none';
  world.time.runUntil(700_000);
  assert.equal(nodes[0]!.state.audit.waiting.length, 0);
  requestTrail(nodes[0]!);
  world.time.runUntil(701_000);
  const {records, dropped} = answers[0]!;
  assert.equal(dropped, 2001);
  assert.equal(records[0]!.subject, 'chat');
  assert.equal(records.at(-1)!.subject, 'vm-2999');
});

test('the trail has a fixed number of bounded values, and orders do not displace those of operators', () => {
  const {world, store, nodes} = createWorld();
  record(nodes[0]!, 'chat', 'mere');
  for (let round = 0; round < 20; round++) {
    for (const node of nodes) {
      for (let at = 0; at < 200; at++) record(node, 'x'.repeat(900));
    }
    world.time.runUntil(world.time.nowMs + 3000);
  }
  const entries = store.platform.list('audit/');
  assert.ok(entries.length <= MAX_KEYS);
  const sizes = entries.map(({value}) => Buffer.byteLength(value));
  assert.ok(Math.max(...sizes) < MAX_VALUE_BYTES);
  assert.ok(entries.some(({value}) => value.includes('"mere"')));
});
