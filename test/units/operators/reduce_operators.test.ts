import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Effect} from '../../../src/core/effects/types.js';
import type {OperatorRequest} from '../../../src/core/operators/types.js';
import type {NodeState} from '../../../src/core/state/types.js';
import {createPeer} from '../../../src/replay/create_peer.js';
import {createNodeState} from '../../../src/core/state/index.js';
import {
  makeId,
  type NodeId,
  type OperationId,
} from '../../../src/core/ids/index.js';
import {reduce} from '../../../src/core/reduce.js';

const roles = {
  entry: true,
  relay: false,
  observer: false,
  broker: false,
  steward: false,
};

function createState(): NodeState {
  return createNodeState(
    {
      nodeId: makeId('node-1'),
      incarnation: makeId('node-1/1'),
      zone: makeId('zone-a'),
      region: 'waikato',
      callerAddress: '10.0.0.1:8080',
      controlAddress: '10.0.0.1:8081',
      roles,
    },
    1,
  );
}

function ask(state: NodeState, request: OperatorRequest): Effect[] {
  return reduce(state, {
    type: 'operatorAsked',
    nowMs: 1000,
    operationId: makeId<OperationId>('op-1'),
    operator: 'mere',
    request,
  });
}

function answerOf(effects: readonly Effect[]) {
  const found = effects.find(effect => effect.type === 'operatorAnswer');
  assert.ok(found);
  return found.answer;
}

test('status lists the node itself and reports which peers are silent', () => {
  const state = createState();
  const silent = createPeer({
    nodeId: makeId<NodeId>('node-2'),
    lastSeenAtMs: -60_000,
    monitoredSinceMs: -60_000,
    lastAcknowledgedAtMs: -60_000,
  });
  state.membership.peers.set(silent.nodeId, silent);
  const answer = answerOf(ask(state, {kind: 'status'}));
  assert.equal(answer.kind, 'ok');
  const {nodes} = answer.data as {nodes: {nodeId: string; live: boolean}[]};
  assert.deepEqual(
    nodes.map(({nodeId, live}) => [nodeId, live]),
    [
      ['node-1', true],
      ['node-2', false],
    ],
  );
});

test('drain is applied once and audited with the states before and after', () => {
  const state = createState();
  const request: OperatorRequest = {kind: 'drain', node: 'node-1'};
  assert.equal(answerOf(ask(state, request)).kind, 'ok');
  assert.equal(state.drain.draining, true);
  assert.equal(answerOf(ask(state, request)).kind, 'ok');
  const drains = state.audit.waiting.filter(one => one.action === 'drain');
  assert.equal(drains.length, 1);
  const {recordId, ...drain} = drains[0]!;
  assert.match(recordId, /^au-node-1/);
  assert.deepEqual(drain, {
    node: 'node-1',
    atMs: 1000,
    who: 'mere',
    action: 'drain',
    subject: 'node-1',
    before: 'serving',
    after: 'draining',
  });
});

test('drain of another node is refused and changes nothing', () => {
  const state = createState();
  const answer = answerOf(ask(state, {kind: 'drain', node: 'node-9'}));
  assert.equal(answer.kind, 'refused');
  assert.equal(answer.refusal.body.name, 'NodeNotFound');
  assert.equal(state.drain.draining, false);
});
