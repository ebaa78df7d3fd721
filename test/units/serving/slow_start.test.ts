import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AttemptId, NodeId, VmId} from '../../../src/core/ids/index.js';
import type {EngineRecord} from '../../../src/core/fleet/types.js';
import type {
  PaceRecord,
  PaceReport,
} from '../../../src/core/serving/pace/types.js';
import type {ServingTarget} from '../../../src/core/serving/types.js';
import {
  ServingNodeHarness,
  createTestConfig,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {createSummary} from '../../../src/core/serving/relays/create_summary.js';
import {digestCodec} from '../../../src/serving/digest_codec.js';
import {isTargetOpen} from '../../../src/core/serving/pace/index.js';
import {makeId} from '../../../src/core/ids/index.js';
import {readConfig} from '../../../platform/config/read_config.js';

const E0 = makeId<VmId>('e0');
const GOAL_MS = 200;
/** A first event after 1.5 times the goal, the expected time without a cost model, is late. */
const LATE_MS = 310;
const SLOTS = 20;
const TIMEOUT_MS = 8000;

/** A node with one engine that it has known from its start. */
function startNode(learnsPace = true): ServingNodeHarness {
  const node = new ServingNodeHarness();
  const config = createTestConfig(1);
  const services = [...config.services].map(
    ([name, service]) => [name, {...service, learnsPace}] as const,
  );
  const hosts = [...config.routesByHost].map(
    ([host, routes]) =>
      [host, routes.map(one => ({...one, timeoutMs: TIMEOUT_MS}))] as const,
  );
  node.dispatch({
    type: 'configRead',
    config: {
      ...config,
      services: new Map(services),
      routesByHost: new Map(hosts),
    },
    provenAtMs: node.nowMs,
  });
  node.dispatch({type: 'peersRegistered', nodes: []});
  node.dispatch({type: 'fleetProven', provenAtMs: node.nowMs});
  const engine = {...createTestEngine(0), slotCount: SLOTS};
  node.dispatch({
    type: 'fleetListed',
    changes: [{vmId: E0, revision: engine.revision, engine}],
    revision: 10,
  });
  node.advance(500);
  return node;
}

function publish(node: ServingNodeHarness, fields: Partial<EngineRecord>) {
  const revision = node.state.fleetRevision + 1;
  const engine = {
    ...createTestEngine(0),
    slotCount: SLOTS,
    revision,
    ...fields,
  };
  node.dispatch({
    type: 'fleetChanged',
    changes: [{vmId: E0, revision, engine}],
    revision,
  });
}

/** A node whose only engine has just restarted. */
function startRestarted(learnsPace = true): ServingNodeHarness {
  const node = startNode(learnsPace);
  publish(node, {bornAtMs: 50});
  return node;
}

function submit(node: ServingNodeHarness, count: number): void {
  for (let at = 0; at < count; at++) {
    node.submitRequest('safe', {callerTimeoutMs: TIMEOUT_MS});
  }
}

function take(node: ServingNodeHarness): AttemptId[] {
  return node.takeEffects('startAttempt').map(({attemptId}) => attemptId);
}

function answer(node: ServingNodeHarness, attemptIds: readonly AttemptId[]) {
  for (const attemptId of attemptIds) {
    node.dispatch({type: 'attemptEnded', attemptId, status: 200});
  }
}

function recordOf(node: ServingNodeHarness): PaceRecord | undefined {
  return node.state.pace.records.get(E0);
}

function report(fields: Partial<PaceReport>): PaceReport {
  return {
    vmId: E0,
    bornAtMs: 50,
    window: 9,
    ageMs: 0,
    hasRecovered: false,
    ...fields,
  };
}

function receive(node: ServingNodeHarness, paces: readonly PaceReport[]) {
  const digest = node.createPeerDigest({paces});
  const decoded = digestCodec.decode(digestCodec.encode(digest))!;
  node.dispatch({type: 'digestReceived', digest: decoded});
}

describe('a target that has restarted', () => {
  // Guards against all waiting requests being sent to a target at the moment it opens.
  it('gets two requests, and one more with each first event on time', () => {
    const node = startRestarted();
    submit(node, 30);
    const first = take(node);
    assert.equal(first.length, 2);
    node.nowMs += GOAL_MS / 2;
    answer(node, first);
    const second = take(node);
    assert.equal(second.length, 4);
    node.nowMs += GOAL_MS / 2;
    answer(node, second);
    assert.equal(take(node).length, 8);
  });

  it('gets all that it can take soon while its first events are on time', () => {
    // Guards against a pace that leaves a recovered target idle.
    const node = startRestarted();
    submit(node, 80);
    let sent = 0;
    for (let round = 0; round < 5; round++) {
      const started = take(node);
      sent += started.length;
      node.nowMs += 100;
      answer(node, started);
    }
    assert.equal(recordOf(node)?.hasRecovered, true);
    assert.ok(sent >= 2 + 4 + 8 + 16, `${sent} sent`);
  });

  it('recovers with few requests too, after some rounds on time', () => {
    const node = startRestarted();
    for (let round = 0; round < 8; round++) {
      submit(node, 1);
      node.nowMs += 50;
      answer(node, take(node));
    }
    assert.equal(recordOf(node)?.hasRecovered, true);
  });

  it('gets half as many after a late first event or a failure, once a round trip', () => {
    for (const fails of [true, false]) {
      const node = startRestarted();
      submit(node, 60);
      for (let round = 0; round < 2; round++) {
        const started = take(node);
        node.nowMs += 50;
        answer(node, started);
      }
      const window = recordOf(node)!.window;
      assert.equal(window, 8);
      const started = take(node);
      node.nowMs += LATE_MS;
      for (const attemptId of started.slice(0, 4)) {
        if (fails) {
          node.dispatch({
            type: 'attemptFailed',
            attemptId,
            fault: 'failed',
            status: 500,
          });
        } else answer(node, [attemptId]);
      }
      assert.equal(recordOf(node)!.window, window / 2);
    }
  });

  it('always gets one request', () => {
    const node = startRestarted();
    for (let round = 0; round < 6; round++) {
      submit(node, 3);
      const started = take(node);
      assert.ok(started.length >= 1, `round ${round}`);
      node.nowMs += LATE_MS;
      answer(node, started);
    }
    assert.equal(recordOf(node)!.window, 1);
  });

  it('is not limited without the field', () => {
    const node = startRestarted(false);
    submit(node, 15);
    assert.equal(take(node).length, 15);
    assert.equal(node.state.pace.records.size, 0);
  });

  it('lets a retry wait that has no other target', () => {
    // Guards against failed requests that are refused while a target recovers.
    const node = startRestarted();
    const other = {...createTestEngine(1), slotCount: SLOTS, revision: 60};
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: other.vmId, revision: 60, engine: other}],
      revision: 60,
    });
    node.advance(50);
    recordOf(node)!.window = 0;
    submit(node, 1);
    const [started] = node.takeEffects('startAttempt');
    assert.equal(started?.vmId, other.vmId);
    const {attemptId} = started;
    node.dispatch({type: 'attemptFailed', attemptId, fault: 'broken'});
    assert.deepEqual(node.takeEffects('refuse'), []);
    recordOf(node)!.window = 2;
    node.advance(50);
    assert.equal(node.takeEffects('startAttempt')[0]?.vmId, E0);
  });
});

describe('the recovery of a target', () => {
  it('does not begin with the first list after the start of the node', () => {
    const node = startNode();
    assert.equal(node.state.pace.records.size, 0);
    submit(node, 15);
    assert.equal(take(node).length, 15);
  });

  it('begins when it opens again, after silence, and after two failures in a row', () => {
    const reopened = startNode();
    publish(reopened, {isLeaving: true});
    const revision = reopened.state.fleetRevision + 1;
    reopened.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: E0, revision}],
      revision,
    });
    reopened.advance(100);
    publish(reopened, {});
    reopened.advance(50);
    assert.equal(recordOf(reopened)?.window, 2);

    const broken = startNode();
    submit(broken, 2);
    for (const attemptId of take(broken)) {
      broken.dispatch({type: 'attemptFailed', attemptId, fault: 'broken'});
    }
    assert.ok(recordOf(broken));

    const silent = startNode();
    submit(silent, 4);
    const started = take(silent);
    for (let at = 0; at < 20; at++) {
      silent.advance(100);
      submit(silent, 1);
      silent.takeEffects('probeEngine');
    }
    assert.notEqual(silent.state.targetLoads.get(E0)?.silentSinceMs, undefined);
    answer(silent, started.slice(0, 1));
    assert.ok(recordOf(silent));
  });

  it('does not begin at a target that peers already use', () => {
    const node = startNode();
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({
        loads: [
          {
            vmId: E0,
            inFlight: 9,
            unreadTokens: 0,
            progressAgeMs: 20,
            isSuspect: false,
            isSlow: false,
          },
        ],
      }),
    });
    publish(node, {bornAtMs: 50});
    node.advance(50);
    assert.equal(recordOf(node), undefined);
  });

  it('follows the latest evidence of peers, and its end', () => {
    const node = startRestarted();
    node.advance(100);
    receive(node, [report({window: 9, ageMs: 5000})]);
    assert.equal(recordOf(node)!.window, 2);
    receive(node, [report({window: 9, ageMs: 10})]);
    assert.equal(recordOf(node)!.window, 9);
    node.advance(100);
    receive(node, [report({window: 9, bornAtMs: 7, hasRecovered: true})]);
    assert.equal(recordOf(node)!.hasRecovered, false);
    receive(node, [report({hasRecovered: true})]);
    assert.equal(recordOf(node)!.hasRecovered, true);
    node.advance(6000);
    assert.equal(recordOf(node), undefined);
  });

  it('at one node does not slow down others that the target serves well', () => {
    // Guards against a node with a bad path that slows the target down for all.
    const node = startNode();
    submit(node, 1);
    answer(node, take(node));
    receive(node, [report({bornAtMs: 1, window: 1})]);
    assert.equal(recordOf(node), undefined);
  });

  it('is passed on by relays, and rows of another shape are left out', () => {
    const node = startRestarted();
    node.advance(50);
    const summary = createSummary(
      node.state,
      {scope: 'zone', hasRoster: false},
      node.nowMs,
    );
    assert.equal(summary.paces?.length, 1);
    const odd = [
      {...report({}), window: 1.5},
      {...report({}), window: -1},
      {...report({}), vmId: 3},
      {...report({}), ageMs: null},
    ];
    const digest = {...summary, paces: [...odd, report({})] as PaceReport[]};
    const decoded = digestCodec.decode(digestCodec.encode(digest))!;
    assert.deepEqual(decoded.paces, [report({})]);
    const old = digestCodec.decode(
      digestCodec.encode({...summary, paces: undefined}),
    )!;
    assert.equal(old.paces, undefined);
  });
});

describe('the window of a recovering target', () => {
  it('is divided between all nodes, whatever the delay of their digests', () => {
    // Guards against nodes that each see a free window and send at the same moment.
    for (const window of [1, 2, 5, 12, 17]) {
      const open = Array.from({length: 12}, (_, self) => {
        const node = startNode();
        Object.assign(node.state, {nodeId: makeId<NodeId>(`n${self}`)});
        for (let at = 0; at < 12; at++) {
          const digest = node.createPeerDigest({
            from: makeId<NodeId>(`n${at}`),
            peerAddress: `10.0.0.${at}:7340`,
          });
          node.dispatch({type: 'digestReceived', digest});
        }
        publish(node, {bornAtMs: 50});
        const target = node.state.targets.get(E0)!;
        isTargetOpen(node.state, target, node.nowMs);
        recordOf(node)!.window = window;
        return countOpen(node, target);
      });
      const sum = open.reduce((total, count) => total + count, 0);
      assert.equal(sum, window);
    }
  });

  it('allows one probing request after a second without evidence', () => {
    // Guards against a target that never recovers since the nodes with a share have no requests.
    const node = startRestarted();
    const target = node.state.targets.get(E0)!;
    assert.equal(isTargetOpen(node.state, target, node.nowMs), true);
    recordOf(node)!.window = 0;
    assert.equal(isTargetOpen(node.state, target, node.nowMs + 900), false);
    assert.equal(isTargetOpen(node.state, target, node.nowMs + 2000), true);
    submit(node, 2);
    node.advance(2000);
    assert.equal(take(node).length, 1);
  });
});

describe('the configuration', () => {
  it('enables the slow start with a rate of cold engines above 0', () => {
    const read = (fields: object) => {
      const config = readConfig(
        JSON.stringify({
          version: 1,
          routes: [],
          services: [{name: 'desk', ...fields}],
          limits: {
            'max-header-bytes': 1,
            'max-body-bytes': 1,
            'header-timeout-ms': 1,
            'idle-timeout-ms': 1,
          },
        }),
      );
      assert.ok(typeof config !== 'string');
      return [...config.services.values()][0]!.learnsPace ?? false;
    };
    assert.equal(read({}), false);
    assert.equal(read({'cold-per-s': 0}), false);
    assert.equal(read({'cold-per-s': 17}), true);
    assert.equal(read({'cold-per-s': 'x'}), true);
  });
});

/** How many requests without a first event a node may have at a target. */
function countOpen(node: ServingNodeHarness, target: ServingTarget): number {
  let count = 0;
  const load = {...node.state.targetLoads.get(E0)!};
  node.state.targetLoads.set(E0, load);
  load.unstartedCount = 0;
  while (count < SLOTS && isTargetOpen(node.state, target, node.nowMs)) {
    count += 1;
    load.unstartedCount = count;
  }
  return count;
}
