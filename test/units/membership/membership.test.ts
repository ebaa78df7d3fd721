import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {NodeId} from '../../../src/core/ids/index.js';
import {
  MEMBERSHIP_TIMING,
  hasAuthority,
  isStoreUp,
  livePeers,
} from '../../../src/core/membership/index.js';
import {VirtualFleet} from '../../support/virtual_fleet.js';

const STABILIZE_MS = 5000;
const DETECTION_MS = 3000;

function startFleet(count: number): VirtualFleet {
  const fleet = new VirtualFleet();
  fleet.start(count);
  fleet.run(STABILIZE_MS);
  fleet.publishInitialConfig();
  fleet.run(STABILIZE_MS);
  return fleet;
}

function nodeOf(fleet: VirtualFleet, at: number) {
  return fleet.world.nodes.get(`n${at}` as NodeId)!;
}

describe('membership', () => {
  it('discovers all nodes through the store', () => {
    const fleet = startFleet(6);
    for (const node of fleet.world.nodes.values()) {
      assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
    }
  });

  it('removes a lost node from entries within 3 s', () => {
    const fleet = startFleet(6);
    nodeOf(fleet, 2).kill();
    fleet.run(DETECTION_MS);
    for (const at of [0, 1, 3, 4, 5]) {
      assert.deepEqual(fleet.entries(nodeOf(fleet, at)), [0, 1, 3, 4, 5]);
    }
  });

  it('removes a draining node from entries at once', () => {
    const fleet = startFleet(6);
    nodeOf(fleet, 2).dispatch({type: 'drainRequested', reason: 'test'});
    fleet.run(50);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 3, 4, 5]);
    const kept = fleet.store.platform.list('nodes/').map(entry => entry.key);
    assert.ok(!kept.includes('nodes/n2'), 'its lease was released');
  });

  it('lists a frozen node again when it resumes', () => {
    const fleet = startFleet(6);
    nodeOf(fleet, 2).freeze();
    fleet.run(DETECTION_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 3, 4, 5]);
    nodeOf(fleet, 2).thaw();
    fleet.run(DETECTION_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 2, 3, 4, 5]);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 2)), [0, 1, 2, 3, 4, 5]);
  });

  it('drops authority after a pause before it handles pending events', () => {
    const fleet = startFleet(3);
    const node = nodeOf(fleet, 1);
    assert.ok(hasAuthority(node.state, fleet.nowMs));
    const {authorityEpoch, leaseId} = node.state.membership;
    node.freeze();
    // Shorter than the lease: only the gap between events reveals the pause.
    fleet.run(MEMBERSHIP_TIMING.maxPauseMs + 500);
    node.thaw();
    assert.ok(!hasAuthority(node.state, fleet.nowMs));
    assert.equal(node.state.membership.authorityEpoch, authorityEpoch + 1);
    fleet.run(STABILIZE_MS);
    assert.ok(hasAuthority(node.state, fleet.nowMs));
    assert.notEqual(node.state.membership.leaseId, leaseId);
  });

  it('uses a new incarnation and ignores late messages of the old one', () => {
    const fleet = startFleet(3);
    const old = nodeOf(fleet, 1);
    old.freeze();
    fleet.run(500);
    const next = fleet.startNode(1, {callerAddress: '10.0.0.91:80'});
    fleet.run(STABILIZE_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 2, 91]);
    old.thaw(); // sends its late heartbeats under the same name
    fleet.run(STABILIZE_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 2, 91]);
    assert.ok(old.state.membership.isSuperseded);
    assert.ok(!hasAuthority(old.state, fleet.nowMs));
    assert.ok(hasAuthority(next.state, fleet.nowMs));
  });

  for (const direction of ['out', 'in', 'both'] as const) {
    it(`removes a zone that is cut off from entries (${direction})`, () => {
      const fleet = startFleet(6);
      const isCut = (id: NodeId) => ['n2', 'n5'].includes(id);
      fleet.network.isUp = (from, to) =>
        isCut(from) === isCut(to) ||
        (direction === 'in' && isCut(from)) ||
        (direction === 'out' && isCut(to));
      fleet.run(DETECTION_MS);
      for (const at of [0, 1, 3, 4]) {
        assert.deepEqual(fleet.entries(nodeOf(fleet, at)), [0, 1, 3, 4]);
      }
      fleet.network.isUp = () => true;
      fleet.run(DETECTION_MS);
      for (const node of fleet.world.nodes.values()) {
        assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
      }
    });
  }

  it('finds all nodes again after a partition that outlasts the retention of silent peers', () => {
    const fleet = startFleet(6);
    const isCut = (id: NodeId) => ['n2', 'n5'].includes(id);
    fleet.network.isUp = (from, to) => isCut(from) === isCut(to);
    fleet.run(2 * MEMBERSHIP_TIMING.forgetAfterMs);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 3, 4]);
    fleet.network.isUp = () => true;
    fleet.run(2 * MEMBERSHIP_TIMING.listIntervalMs);
    for (const node of fleet.world.nodes.values()) {
      assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
    }
  });

  it('keeps known peers while the store is down', () => {
    const fleet = startFleet(6);
    fleet.store.fault = () => 'unavailable';
    fleet.run(20 * 60_000);
    assert.ok(!isStoreUp(nodeOf(fleet, 0).state, fleet.nowMs));
    for (const node of fleet.world.nodes.values()) {
      assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
      assert.ok(!hasAuthority(node.state, fleet.nowMs));
    }
    fleet.store.fault = () => 'none';
    fleet.run(30_000);
    for (const node of fleet.world.nodes.values()) {
      assert.ok(hasAuthority(node.state, fleet.nowMs));
    }
  });

  it('a node that starts while the store is down joins through a seed peer', () => {
    const fleet = startFleet(6);
    fleet.store.fault = () => 'unavailable';
    fleet.run(STABILIZE_MS);
    const late = fleet.startNode(6, {seedPeers: ['10.0.0.3:81']});
    fleet.run(STABILIZE_MS);
    assert.equal(livePeers(late.state, fleet.nowMs).length, 6);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 2, 3, 4, 5, 6]);
  });

  it('keeps the order of entries for an organisation and service when a node is lost', () => {
    const fleet = startFleet(6);
    const node = nodeOf(fleet, 0);
    const before = fleet.rankedEntries(node, 'o1', 's1');
    assert.deepEqual(before.slice(0, 2).sort(), [0, 3], 'own zone first');
    nodeOf(fleet, 4).kill();
    fleet.run(DETECTION_MS);
    const after = fleet.rankedEntries(node, 'o1', 's1');
    assert.deepEqual(
      after,
      before.filter(at => at !== 4),
    );
    const firsts = new Set<number>();
    for (let n = 0; n < 50; n++) {
      firsts.add(fleet.rankedEntries(node, `o${n}`, 's1')[0]!);
    }
    assert.deepEqual([...firsts].sort(), [0, 3], 'organisations spread');
  });

  it('removes no peer while the store is down, however long a partition lasts', () => {
    const fleet = startFleet(6);
    const isCut = (id: NodeId) => ['n2', 'n5'].includes(id);
    fleet.store.fault = () => 'unavailable';
    fleet.run(STABILIZE_MS);
    fleet.network.isUp = (from, to) => isCut(from) === isCut(to);
    fleet.run(3 * MEMBERSHIP_TIMING.forgetAfterMs);
    fleet.network.isUp = () => true;
    fleet.run(DETECTION_MS);
    for (const node of fleet.world.nodes.values()) {
      assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
    }
  });

  it('detects from the store alone that it was superseded', () => {
    const fleet = startFleet(3);
    const old = nodeOf(fleet, 1);
    fleet.network.isUp = () => false;
    fleet.startNode(1);
    fleet.run(6 * STABILIZE_MS);
    assert.ok(old.state.membership.isSuperseded);
  });

  it('detects from peers alone that it was superseded', () => {
    const fleet = startFleet(3);
    const old = nodeOf(fleet, 1);
    fleet.store.fault = node => (node === old ? 'unavailable' : 'none');
    fleet.startNode(1);
    // The test world routes by node id, so the gossip for the old incarnation is dispatched by hand.
    const next = nodeOf(fleet, 1);
    fleet.run(STABILIZE_MS);
    const {startedAtMs, sequence} = next.state.membership;
    const peer = nodeOf(fleet, 0).state.membership.peers.get('n1' as NodeId)!;
    assert.equal(peer.incarnation, next.state.self.incarnation);
    const standing = {...peer, startedAtMs, sequence};
    old.dispatch({
      type: 'peerExchanged',
      from: 'n0' as NodeId,
      messages: [
        {
          type: 'membership.gossip',
          nodes: [
            {nodeId: peer.nodeId, standing, silentMs: 0, suspected: false},
          ],
        },
      ],
    });
    assert.ok(old.state.membership.isSuperseded);
  });

  it('without a full mesh, all nodes remove a lost node within 3 s', () => {
    const fleet = startFleet(60);
    nodeOf(fleet, 7).kill();
    fleet.run(DETECTION_MS);
    const dead = 'n7' as NodeId;
    for (const node of fleet.world.nodes.values()) {
      if (!node.isAlive) continue;
      const live = livePeers(node.state, fleet.nowMs);
      assert.equal(live.length, 58);
      assert.ok(live.every(peer => peer.nodeId !== dead));
    }
  });
});
