import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {NodeId} from '../../../src/core/ids/index.js';
import {MemoryPlatform} from '../../../src/standins/memory_platform.js';
import {VirtualFleet} from '../../support/virtual_fleet.js';
import {readiness} from '../../../src/core/membership/index.js';
import {createServiceFile} from '../../support/config_files.js';

const PROPAGATION_MS = 5000;

function startFleet(count = 6): VirtualFleet {
  const fleet = new VirtualFleet();
  fleet.start(count);
  fleet.run(5000);
  fleet.publishInitialConfig();
  return fleet;
}

function nodeOf(fleet: VirtualFleet, at: number) {
  return fleet.world.nodes.get(`n${at}` as NodeId)!;
}

function publish(fleet: VirtualFleet, at: number, replicas: number): void {
  fleet.publish(nodeOf(fleet, at), [createServiceFile('s', replicas)]);
  fleet.run(PROPAGATION_MS);
}

function replicasAt(fleet: VirtualFleet, at: number) {
  const found = nodeOf(fleet, at).state.config.document.services.get('s');
  return found?.kind === 'model' ? found.replicas : undefined;
}

function isReady(fleet: VirtualFleet, at: number): boolean {
  return readiness(nodeOf(fleet, at).state, fleet.nowMs).ready;
}

/** Restores the configuration in the store from an older backup. */
function restoreHead(
  platform: MemoryPlatform,
  value: string,
  nowMs: number,
): void {
  const [head] = platform.list('config/head');
  platform.call(
    {
      kind: 'compareAndSwap',
      key: 'config/head',
      expectedVersion: head!.version,
      value,
    },
    nowMs,
    () => {},
  );
}

describe('configuration revision never decreases', () => {
  it('keeps its revision when the store is restored and writes it back', () => {
    const fleet = startFleet();
    const old = fleet.store.platform.list('config/head')[0]!.value;
    publish(fleet, 1, 2);
    publish(fleet, 2, 3);
    restoreHead(fleet.store.platform, old, fleet.nowMs);
    fleet.run(20_000);
    assert.ok(fleet.revisions().every(revision => revision === 3));
    assert.equal(replicasAt(fleet, 5), 3);
    const [head] = fleet.store.platform.list('config/head');
    assert.equal(JSON.parse(head!.value).revision, 3);
  });

  it('publishes on top of the revision in force when the store is behind', () => {
    const fleet = startFleet();
    const old = fleet.store.platform.list('config/head')[0]!.value;
    publish(fleet, 1, 2);
    restoreHead(fleet.store.platform, old, fleet.nowMs);
    const publication = fleet.publish(nodeOf(fleet, 3), [
      createServiceFile('t', 1),
    ]);
    fleet.run(PROPAGATION_MS);
    assert.deepEqual(
      (publication.answer as {data: {revision: number}}).data.revision,
      3,
    );
    assert.equal(replicasAt(fleet, 5), 2);
  });

  it('makes no node ready on a restored store before it has the revision of its peers', () => {
    const fleet = startFleet();
    const old = fleet.store.platform.list('config/head')[0]!.value;
    publish(fleet, 1, 2);
    restoreHead(fleet.store.platform, old, fleet.nowMs);
    fleet.startNode(6);
    for (let ms = 0; ms < 10_000; ms += 10) {
      fleet.run(10);
      if (isReady(fleet, 6)) assert.equal(replicasAt(fleet, 6), 2);
    }
    assert.ok(isReady(fleet, 6));
  });

  it('accepts no older revision from a peer after a partition heals', () => {
    const fleet = startFleet();
    const isPartitioned = (id: NodeId) => ['n2', 'n5'].includes(id);
    fleet.network.isUp = (from, to) =>
      isPartitioned(from) === isPartitioned(to);
    fleet.store.fault = node =>
      isPartitioned(node.state.self.nodeId) ? 'unavailable' : 'none';
    publish(fleet, 1, 2);
    assert.equal(replicasAt(fleet, 0), 2);
    assert.equal(replicasAt(fleet, 5), 1);
    fleet.network.isUp = () => true;
    fleet.run(PROPAGATION_MS); // the store stays unreachable for n2 and n5
    for (const at of [0, 2, 5]) assert.equal(replicasAt(fleet, at), 2);
  });

  it('makes a paused node ready only at the newest revision', () => {
    const fleet = startFleet();
    nodeOf(fleet, 4).freeze();
    publish(fleet, 1, 2);
    nodeOf(fleet, 4).thaw();
    assert.ok(!isReady(fleet, 4));
    for (let ms = 0; ms < 10_000; ms += 10) {
      fleet.run(10);
      if (isReady(fleet, 4)) assert.equal(replicasAt(fleet, 4), 2);
    }
    assert.ok(isReady(fleet, 4));
  });

  it('takes the highest revision from peers when a node starts while the store is down', () => {
    const fleet = startFleet();
    publish(fleet, 1, 2);
    fleet.store.fault = () => 'unavailable';
    fleet.run(5000);
    fleet.startNode(6, {seedPeers: ['10.0.0.3:81']});
    for (let ms = 0; ms < 10_000; ms += 10) {
      fleet.run(10);
      if (isReady(fleet, 6)) assert.equal(replicasAt(fleet, 6), 2);
    }
    assert.ok(isReady(fleet, 6));
  });

  it('keeps a node that starts with neither store nor peers not ready', () => {
    const fleet = startFleet();
    fleet.store.fault = () => 'unavailable';
    fleet.startNode(6);
    fleet.run(60_000);
    assert.ok(!isReady(fleet, 6));
  });

  it('requests the changes from a second peer when the first lacks the history, then the complete configuration', () => {
    const fleet = startFleet();
    const late = nodeOf(fleet, 5);
    late.freeze();
    publish(fleet, 1, 2);
    const requestedSince: number[] = [];
    fleet.world.addFake({
      types: ['peerAsk'],
      handle: (node, effect) => {
        if (node !== late || effect.type !== 'peerAsk') return;
        const {message} = effect;
        if (message.type === 'config.pull')
          requestedSince.push(message.sinceRevision);
      },
    });
    for (const at of [0, 1, 2, 3, 4]) {
      nodeOf(fleet, at).state.config.floorRevision = 2;
    }
    // The late node cannot read the store, so that peers are its only source.
    fleet.store.fault = node => (node === late ? 'unavailable' : 'none');
    late.thaw();
    fleet.run(PROPAGATION_MS);
    assert.deepEqual(requestedSince, [1, 1, 0]);
    assert.equal(replicasAt(fleet, 5), 2);
    assert.equal(late.state.config.floorRevision, 2);
  });
});
