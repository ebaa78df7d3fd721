import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EngineRecord} from '../../../src/core/fleet/types.js';
import type {NodeId, VmId, ZoneId} from '../../../src/core/ids/index.js';
import type {RegisteredNode} from '../../../src/core/serving/types.js';
import {
  ServingNodeHarness,
  createTestConfig,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {createSummary} from '../../../src/core/serving/relays/create_summary.js';
import {digestCodec} from '../../../src/serving/digest_codec.js';
import {dispatchAnnouncement} from '../../../src/serving/dispatch_announcement.js';
import {isEngineChange} from '../../../src/core/fleet/index.js';
import {makeId} from '../../../src/core/ids/index.js';
import {presumedColdSinceMs} from '../../../src/core/serving/coldness/presumed_cold_since_ms.js';
import {readAnnouncement} from '../../../platform/engines/read_announcement.js';
import {readConfig} from '../../../platform/config/read_config.js';
import {readEngine} from '../../../platform/engines/read_engine.js';

const COLD_MS = 3000;
const PER_S = 17;
/** A quarter of 17 x 1.5 + 5. */
const QUOTA = 7;
const WINDOW_MS = 1200;
const TIMEOUT_MS = 8000;
/** Requests with it wait for at most a second. */
const SHORT_TIMEOUT_MS = 2000;
const BOUNDS = {coldOvershoot: 1.5, coldTolerance: 5};
const SELF: RegisteredNode = {
  nodeId: makeId<NodeId>('n0'),
  zone: makeId<ZoneId>('zone'),
  peerAddress: '10.0.0.1:7340',
  coreCount: 1,
};
const E0 = makeId<VmId>('e0');

interface NodeOptions {
  readonly bounds?: {
    readonly coldOvershoot?: number;
    readonly coldTolerance?: number;
  };
  readonly spec?: {
    readonly coldMs?: number;
    readonly coldRequestsPerS?: number;
  };
  readonly engines?: readonly EngineRecord[];
  readonly nodes?: readonly RegisteredNode[];
}

/** A node that owns all engines unless `nodes` say otherwise, with one engine that is cold for the whole time. */
function startNode(options: NodeOptions = {}): ServingNodeHarness {
  const {engines = [createTestEngine(0)], nodes = [SELF]} = options;
  const spec = options.spec ?? {coldMs: COLD_MS, coldRequestsPerS: PER_S};
  const node = new ServingNodeHarness(options.bounds ?? BOUNDS);
  const config = createTestConfig(1);
  const services = [...config.services].map(
    ([name, service]) => [name, {...service, ...spec}] as const,
  );
  node.dispatch({
    type: 'configRead',
    config: {
      ...config,
      services: new Map(services),
      routesByHost: new Map(
        [...config.routesByHost].map(([host, routes]) => [
          host,
          routes.map(route => ({...route, timeoutMs: TIMEOUT_MS})),
        ]),
      ),
    },
    provenAtMs: node.nowMs,
  });
  if (nodes.length > 0) node.dispatch({type: 'peersRegistered', nodes});
  node.dispatch({type: 'fleetProven', provenAtMs: node.nowMs});
  node.dispatch({
    type: 'fleetListed',
    changes: engines.map(engine => ({
      vmId: engine.vmId,
      revision: engine.revision,
      engine,
    })),
    revision: 10,
  });
  node.advance(2000);
  return node;
}

/** Applies a new entry of an engine. */
function publish(
  node: ServingNodeHarness,
  at: number,
  fields: Partial<EngineRecord>,
): void {
  const revision = node.state.fleetRevision + 1;
  const engine = {...createTestEngine(at), revision, ...fields};
  node.dispatch({
    type: 'fleetChanged',
    changes: [{vmId: engine.vmId, revision, engine}],
    revision,
  });
}

/** Submits requests and returns the targets that got one at once; each ends at once. */
function sendMany(
  node: ServingNodeHarness,
  count: number,
  callerTimeoutMs = TIMEOUT_MS,
): VmId[] {
  for (let at = 0; at < count; at++) {
    node.submitRequest('safe', {callerTimeoutMs});
  }
  const targets: VmId[] = [];
  for (;;) {
    const started = node.takeEffects('startAttempt');
    if (started.length === 0) return targets;
    for (const {attemptId, vmId} of started) {
      targets.push(vmId);
      node.dispatch({type: 'attemptEnded', attemptId, status: 200});
    }
  }
}

function countSent(node: ServingNodeHarness): number {
  return sendMany(node, 0).length;
}

function otherNodes(count: number): RegisteredNode[] {
  return Array.from({length: count}, (_, at) => ({
    ...SELF,
    nodeId: makeId<NodeId>(`n${at + 1}`),
    peerAddress: `10.0.0.${at + 2}:7340`,
    coreCount: 1000,
  }));
}

function logsOf(node: ServingNodeHarness, message: string) {
  return node.effects.filter(
    effect => effect.type === 'log' && effect.message === message,
  );
}

describe('a cold target', () => {
  // Each test guards against more requests than an engine survives after its start.
  it('gets at most the quota of an owner in any window, retries included', () => {
    const node = startNode();
    publish(node, 0, {coldLeftMs: COLD_MS});
    assert.equal(sendMany(node, 20).length, QUOTA);
    node.advance(WINDOW_MS - 50);
    assert.equal(countSent(node), 0);
    node.advance(50);
    assert.equal(countSent(node), QUOTA);
  });

  it('gets what waits as soon as it is warm, without another event than ticks', () => {
    const node = startNode({nodes: [SELF, ...otherNodes(3)]});
    publish(node, 0, {coldLeftMs: 600});
    assert.equal(sendMany(node, 5).length, 0);
    node.advance(550);
    assert.equal(countSent(node), 0);
    node.advance(100);
    assert.equal(countSent(node), 5);
  });

  it('counts the requests that were sent before it was known to be cold', () => {
    const node = startNode();
    sendMany(node, 5);
    publish(node, 0, {coldLeftMs: COLD_MS});
    assert.equal(sendMany(node, 20).length, QUOTA - 5);
  });

  it('is no target for a node that does not own it', () => {
    const engines = [createTestEngine(0), createTestEngine(1)];
    const node = startNode({engines, nodes: [SELF, ...otherNodes(3)]});
    publish(node, 0, {coldLeftMs: COLD_MS});
    const targets = new Set(sendMany(node, 10));
    assert.deepEqual([...targets], ['e1']);
  });

  it('is owned by nobody that has not read the registry, or is not in it', () => {
    for (const nodes of [[], otherNodes(1)]) {
      const node = startNode({nodes});
      publish(node, 0, {coldLeftMs: COLD_MS});
      assert.equal(sendMany(node, 5).length, 0);
    }
  });

  it('is not owned by a node that has just started, whose earlier process may have sent', () => {
    const node = startNode();
    node.state.coldness.registryReadAtMs = node.nowMs - 1000;
    publish(node, 0, {coldLeftMs: COLD_MS});
    assert.equal(sendMany(node, 5).length, 0);
    node.advance(600);
    assert.equal(countSent(node), 5);
  });

  it('is left to a peer that has started since the registry was read', () => {
    const node = startNode();
    for (const {nodeId, peerAddress, coreCount} of otherNodes(3)) {
      const digest = node.createPeerDigest({
        from: nodeId,
        peerAddress,
        coreCount,
      });
      node.dispatch({type: 'digestReceived', digest});
    }
    publish(node, 0, {coldLeftMs: COLD_MS});
    assert.equal(sendMany(node, 5).length, 0);
  });

  it('stays with its owners on a node that is cut off, by the list that it has', () => {
    const node = startNode({nodes: [SELF, ...otherNodes(1)]});
    node.advance(60_000);
    publish(node, 0, {coldLeftMs: COLD_MS});
    assert.equal(sendMany(node, 20).length, QUOTA);
  });

  it('is not limited without the fields of the service and both bounds', () => {
    const cases: NodeOptions[] = [
      {bounds: {...BOUNDS, coldTolerance: undefined}},
      {bounds: {...BOUNDS, coldOvershoot: undefined}},
      {spec: {coldMs: COLD_MS}},
      {spec: {coldRequestsPerS: PER_S}},
      {spec: {coldMs: COLD_MS, coldRequestsPerS: 0}},
    ];
    for (const options of cases) {
      const node = startNode(options);
      publish(node, 0, {coldLeftMs: COLD_MS, bornAtMs: 77});
      assert.equal(sendMany(node, 20).length, 20, JSON.stringify(options));
      assert.equal(node.state.coldness.evidence.size, 0);
    }
  });

  it('is never one whose entry does not say so and which is not new', () => {
    const node = startNode();
    publish(node, 0, {});
    assert.equal(sendMany(node, 20).length, 20);
  });
});

describe('coldness', () => {
  it('is assumed for a process that is new to a node which knows the fleet', () => {
    // Guards against engines whose first entry was written without the field.
    for (const fields of [{}, {coldLeftMs: 0}, {coldLeftMs: 100}]) {
      const node = startNode();
      publish(node, 0, {...fields, bornAtMs: 999});
      assert.equal(sendMany(node, 20).length, QUOTA);
      node.advance(COLD_MS - 100);
      assert.equal(node.state.coldness.evidence.size, 1);
      node.advance(200);
      assert.equal(node.state.coldness.evidence.size, 0);
      assert.equal(logsOf(node, 'engine is warm').length, 1);
    }
  });

  it('is not assumed for the engines of the first list after the start of a node', () => {
    const node = startNode({engines: [0, 1, 2].map(createTestEngine)});
    assert.equal(node.state.coldness.evidence.size, 0);
  });

  it('of an old entry ends after the time that it names at the latest', () => {
    const engine = {...createTestEngine(0), coldLeftMs: 2500};
    const node = startNode({engines: [engine]});
    assert.equal(node.state.coldness.evidence.size, 1);
    node.advance(600);
    assert.equal(node.state.coldness.evidence.size, 0);
  });

  it('is not shortened by news that arrive out of order', () => {
    const node = startNode();
    publish(node, 0, {coldLeftMs: COLD_MS});
    publish(node, 0, {coldLeftMs: 0});
    publish(node, 0, {coldLeftMs: 200});
    node.advance(2000);
    assert.equal(node.state.coldness.evidence.size, 1);
  });

  it('is learned again from a response, and reported to peers and through relays', () => {
    const node = startNode();
    node.dispatch({
      type: 'engineAnnounced',
      vmId: E0,
      isLeaving: false,
      coldLeftMs: 2000,
    });
    assert.equal(sendMany(node, 20).length, QUOTA);
    const digest = createSummary(
      node.state,
      {scope: 'zone', hasRoster: false},
      node.nowMs,
    );
    const decoded = digestCodec.decode(digestCodec.encode(digest))!;
    assert.deepEqual(decoded.coldEngines, [
      {vmId: E0, bornAtMs: 1, leftMs: 2000},
    ]);
    const relay = startNode({nodes: []});
    relay.dispatch({
      type: 'digestReceived',
      digest: {...decoded, scope: 'node', from: makeId<NodeId>('n7')},
    });
    assert.equal(sendMany(relay, 5).length, 0);
    const summary = createSummary(
      relay.state,
      {scope: 'fleet', hasRoster: false},
      relay.nowMs,
    );
    assert.equal(summary.coldEngines?.length, 1);
  });

  it('does not go on without end between relays that report to each other', () => {
    const nodes = [startNode({nodes: []}), startNode({nodes: []})] as const;
    nodes[0].dispatch({
      type: 'engineAnnounced',
      vmId: E0,
      isLeaving: false,
      coldLeftMs: 2000,
    });
    for (let round = 0; round < 40; round++) {
      for (const [at, node] of nodes.entries()) {
        const summary = createSummary(
          node.state,
          {scope: 'zone', hasRoster: false},
          node.nowMs,
        );
        const from = makeId<NodeId>(`r${at}`);
        const digest = {
          ...summary,
          scope: 'node' as const,
          from,
          peerAddress: `10.0.0.${at + 5}:1`,
        };
        const other = nodes[1 - at]!;
        // 90 ms under way, as long as the interval between digests.
        other.advance(90);
        other.dispatch({type: 'digestReceived', digest});
      }
    }
    for (const node of nodes) {
      assert.equal(node.state.coldness.evidence.size, 0);
    }
  });

  it('of the engines of a zone that was returned to service lasts from then on', () => {
    const node = startNode();
    const zone = createTestEngine(0).zone;
    node.state.evacuation.returnedAtMsByZone.set(zone, node.nowMs);
    assert.equal(
      presumedColdSinceMs(node.state, createTestEngine(0)),
      node.nowMs,
    );
    assert.equal(sendMany(node, 20).length, QUOTA);
    node.advance(COLD_MS);
    assert.ok(countSent(node) > 0);
    assert.equal(sendMany(node, 20).length, 20);
  });
});

describe('a request whose targets are all cold', () => {
  it('is refused at once with the opening time when none opens in time', () => {
    const node = startNode({nodes: otherNodes(3)});
    publish(node, 0, {coldLeftMs: COLD_MS});
    // Waits at most half of its 2 s.
    node.submitRequest('safe', {callerTimeoutMs: SHORT_TIMEOUT_MS});
    const [refusal] = node.takeEffects('refuse');
    assert.equal(refusal?.status, 503);
    assert.equal(refusal?.reason, 'overloaded');
    assert.ok(refusal.retryAfterMs! >= COLD_MS, `${refusal.retryAfterMs}`);
  });

  it('waits when one opens in time', () => {
    const node = startNode({nodes: otherNodes(3)});
    publish(node, 0, {coldLeftMs: 700});
    node.submitRequest('safe', {callerTimeoutMs: SHORT_TIMEOUT_MS});
    assert.deepEqual(node.takeEffects('refuse'), []);
    node.advance(750);
    assert.equal(countSent(node), 1);
  });

  it('does not wait behind more requests than its owner may send in time', () => {
    const node = startNode();
    publish(node, 0, {coldLeftMs: COLD_MS});
    // No window ends within the second for which they may wait.
    assert.equal(sendMany(node, 20, SHORT_TIMEOUT_MS).length, QUOTA);
    assert.equal(node.takeEffects('refuse').length, 20 - QUOTA);
  });
});

describe('a request that failed at a cold engine', () => {
  const engines = [0, 1, 2].map(createTestEngine);

  it('is not sent to another cold engine, by retry or beside its silent run', () => {
    // Guards against one request, or one overload, that ends several engines in a row.
    for (const isWarmLeft of [true, false]) {
      const node = startNode({engines});
      for (const at of isWarmLeft ? [0, 1] : [0, 1, 2]) {
        publish(node, at, {coldLeftMs: COLD_MS});
      }
      for (let count = 0; count < 12; count++) {
        node.submitRequest('safe');
        const [first] = node.takeEffects('startAttempt');
        if (!first || (isWarmLeft && first.vmId === 'e2')) continue;
        const {attemptId} = first;
        node.dispatch({type: 'attemptFailed', attemptId, fault: 'broken'});
        const [second] = node.takeEffects('startAttempt');
        assert.equal(second?.vmId, isWarmLeft ? 'e2' : undefined);
      }
    }
  });

  it('is not sent there by another node that it is forwarded to', () => {
    const node = startNode();
    publish(node, 0, {coldLeftMs: COLD_MS});
    node.submitRequest('safe', {
      forwarded: {nodeId: makeId<NodeId>('n5'), priorRunCount: 1},
    });
    assert.deepEqual(node.takeEffects('startAttempt'), []);
  });
});

describe('a value of a cold time that is not plausible', () => {
  it('in an entry leaves it valid and means cold for the whole time', () => {
    const entry = {
      service: 'desk',
      address: '10.0.1.0:80',
      zone: 'zone',
      slots: 6,
      state: 'ready',
      born: 1,
    };
    const values = [-1, '3000', 1e9, 1e308, null, {}, [], true, 'soon', 3001];
    for (const value of values) {
      const text = JSON.stringify({...entry, 'cold-left-ms': value});
      const engine = readEngine(E0, text, 50);
      assert.ok(typeof engine !== 'string', JSON.stringify(value));
      const node = startNode();
      node.dispatch({
        type: 'fleetChanged',
        changes: [{vmId: E0, revision: 50, engine}],
        revision: 50,
      });
      assert.equal(logsOf(node, 'cold time not understood').length, 1);
      assert.equal(sendMany(node, 20).length, QUOTA);
      node.advance(COLD_MS + 50);
      assert.equal(node.state.coldness.evidence.size, 0);
    }
  });

  it('in the record of a peer leaves it valid and means cold for the whole time', () => {
    for (const value of [null, -5, 'x', 1e300]) {
      const engine = {...createTestEngine(0), revision: 50, coldLeftMs: value};
      const change = {vmId: E0, revision: 50, engine};
      assert.equal(isEngineChange(change), true);
      const node = startNode();
      const digest = node.createPeerDigest({changes: [change as never]});
      const decoded = digestCodec.decode(digestCodec.encode(digest))!;
      node.dispatch({type: 'digestReceived', digest: decoded});
      assert.equal(sendMany(node, 20).length, QUOTA);
    }
  });

  it('in a response means cold for the whole time, and a good one is read', () => {
    const read = (left: string) =>
      readAnnouncement(200, {'x-cold-ms': left}).coldLeftMs;
    assert.deepEqual(['0', '1200', ' 17.5 '].map(read), [0, 1200, 17.5]);
    for (const text of ['', '-1', 'soon', 'NaN', '1e3', '0x10', '1, 2']) {
      assert.equal(read(text), Number.MAX_SAFE_INTEGER, text);
    }
    assert.equal(readAnnouncement(200, {}).coldLeftMs, undefined);
    // In any response, refusals included.
    assert.equal(readAnnouncement(421, {'x-cold-ms': '9'}).coldLeftMs, 9);
  });

  it('of zero in a response is no news', () => {
    const events: unknown[] = [];
    const context = {
      wire: {engines: {readAnnouncement}},
      events: {dispatch: (event: unknown) => events.push(event)},
      state: startNode().state,
    };
    for (const left of ['0', '40']) {
      dispatchAnnouncement(context as never, {vmId: E0, hasRun: true}, 200, {
        'x-cold-ms': left,
      });
    }
    assert.equal(events.length, 1);
  });

  it('in rows of a digest leaves out these rows', () => {
    const node = startNode();
    const good = {vmId: E0, bornAtMs: 1, leftMs: 500};
    const odd = [
      {...good, vmId: 7},
      {...good, bornAtMs: null},
      {...good, leftMs: -1},
      {...good, leftMs: 'x'},
    ];
    const digest = node.createPeerDigest({
      coldEngines: [...odd, good] as never,
    });
    const decoded = digestCodec.decode(digestCodec.encode(digest))!;
    assert.deepEqual(decoded.coldEngines, [good]);
  });

  it('in the configuration is replaced by a safe one, with a warning', () => {
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
      assert.ok(typeof config !== 'string', String(config));
      const [spec] = [...config.services.values()];
      const {coldMs, coldRequestsPerS} = spec!;
      return [coldMs, coldRequestsPerS, config.warnings?.length ?? 0];
    };
    assert.deepEqual(read({}), [undefined, undefined, 0]);
    assert.deepEqual(read({'cold-s': 2.5, 'cold-per-s': 17}), [2500, 17, 0]);
    assert.deepEqual(read({'cold-s': 0, 'cold-per-s': 0}), [0, 0, 0]);
    assert.deepEqual(read({'cold-s': -1, 'cold-per-s': -1}), [3000, 1, 2]);
    assert.deepEqual(read({'cold-s': '3', 'cold-per-s': 'x'}), [3000, 1, 2]);
    assert.deepEqual(read({'cold-s': 1e12, 'cold-per-s': 1e9}), [3000, 1, 2]);
  });
});
