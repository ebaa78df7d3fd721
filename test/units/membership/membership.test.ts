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

const SETTLE_MS = 5000;
const LEAVE_OUT_MS = 3000;

function startFleet(count: number): VirtualFleet {
  const fleet = new VirtualFleet();
  fleet.start(count);
  fleet.run(SETTLE_MS);
  fleet.configure();
  fleet.run(SETTLE_MS);
  return fleet;
}

function nodeOf(fleet: VirtualFleet, at: number) {
  return fleet.world.nodes.get(`n${at}` as NodeId)!;
}

describe('membership', () => {
  it('lets nodes find each other through the store', () => {
    const fleet = startFleet(6);
    for (const node of fleet.world.nodes.values()) {
      assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
    }
  });

  it('leaves a dead node out of entries within 3 s', () => {
    const fleet = startFleet(6);
    nodeOf(fleet, 2).kill();
    fleet.run(LEAVE_OUT_MS);
    for (const at of [0, 1, 3, 4, 5]) {
      assert.deepEqual(fleet.entries(nodeOf(fleet, at)), [0, 1, 3, 4, 5]);
    }
  });

  it('leaves a draining node out of entries at once', () => {
    const fleet = startFleet(6);
    nodeOf(fleet, 2).dispatch({type: 'drainRequested', reason: 'test'});
    fleet.run(50);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 3, 4, 5]);
    const kept = fleet.store.platform.list('nodes/').map(entry => entry.key);
    assert.ok(!kept.includes('nodes/n2'), 'its lease was released');
  });

  it('takes a frozen node back when it continues', () => {
    const fleet = startFleet(6);
    nodeOf(fleet, 2).freeze();
    fleet.run(LEAVE_OUT_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 3, 4, 5]);
    nodeOf(fleet, 2).thaw();
    fleet.run(LEAVE_OUT_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 2, 3, 4, 5]);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 2)), [0, 1, 2, 3, 4, 5]);
  });

  it('gives up authority on a pause before it handles what waited', () => {
    const fleet = startFleet(3);
    const node = nodeOf(fleet, 1);
    assert.ok(hasAuthority(node.state, fleet.nowMs));
    const {authorityEpoch, leaseId} = node.state.membership;
    node.freeze();
    // Shorter than the lease: only the gap says that the node was paused.
    fleet.run(MEMBERSHIP_TIMING.maxPauseMs + 500);
    node.thaw();
    assert.ok(!hasAuthority(node.state, fleet.nowMs));
    assert.equal(node.state.membership.authorityEpoch, authorityEpoch + 1);
    fleet.run(SETTLE_MS);
    assert.ok(hasAuthority(node.state, fleet.nowMs));
    assert.notEqual(node.state.membership.leaseId, leaseId);
  });

  it('prefers a new incarnation and ignores late messages of the old one', () => {
    const fleet = startFleet(3);
    const old = nodeOf(fleet, 1);
    old.freeze();
    fleet.run(500);
    const next = fleet.startNode(1, {callerAddress: '10.0.0.91:80'});
    fleet.run(SETTLE_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 2, 91]);
    old.thaw(); // sends its late heartbeats under the same name
    fleet.run(SETTLE_MS);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 2, 91]);
    assert.ok(old.state.membership.isSuperseded);
    assert.ok(!hasAuthority(old.state, fleet.nowMs));
    assert.ok(hasAuthority(next.state, fleet.nowMs));
  });

  for (const direction of ['out', 'in', 'both'] as const) {
    it(`leaves a zone out that is cut off (${direction})`, () => {
      const fleet = startFleet(6);
      const isCut = (id: NodeId) => ['n2', 'n5'].includes(id);
      fleet.network.isUp = (from, to) =>
        isCut(from) === isCut(to) ||
        (direction === 'in' && isCut(from)) ||
        (direction === 'out' && isCut(to));
      fleet.run(LEAVE_OUT_MS);
      for (const at of [0, 1, 3, 4]) {
        assert.deepEqual(fleet.entries(nodeOf(fleet, at)), [0, 1, 3, 4]);
      }
      fleet.network.isUp = () => true;
      fleet.run(LEAVE_OUT_MS);
      for (const node of fleet.world.nodes.values()) {
        assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
      }
    });
  }

  it('finds all nodes again after a cut that outlasts their memory', () => {
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

  it('goes on with known peers while the store is down', () => {
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

  it('lets a node that starts while the store is down join through a seed peer', () => {
    const fleet = startFleet(6);
    fleet.store.fault = () => 'unavailable';
    fleet.run(SETTLE_MS);
    const late = fleet.startNode(6, {seedPeers: ['10.0.0.3:81']});
    fleet.run(SETTLE_MS);
    assert.equal(livePeers(late.state, fleet.nowMs).length, 6);
    assert.deepEqual(fleet.entries(nodeOf(fleet, 0)), [0, 1, 2, 3, 4, 5, 6]);
  });

  it('keeps the order of entries for an organisation and service', () => {
    const fleet = startFleet(6);
    const node = nodeOf(fleet, 0);
    const before = fleet.rankedEntries(node, 'o1', 's1');
    assert.deepEqual(before.slice(0, 2).sort(), [0, 3], 'own zone first');
    nodeOf(fleet, 4).kill();
    fleet.run(LEAVE_OUT_MS);
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

  it('forgets no peer while the store is down, however long a cut lasts', () => {
    const fleet = startFleet(6);
    const isCut = (id: NodeId) => ['n2', 'n5'].includes(id);
    fleet.store.fault = () => 'unavailable';
    fleet.run(SETTLE_MS);
    fleet.network.isUp = (from, to) => isCut(from) === isCut(to);
    fleet.run(3 * MEMBERSHIP_TIMING.forgetAfterMs);
    fleet.network.isUp = () => true;
    fleet.run(LEAVE_OUT_MS);
    for (const node of fleet.world.nodes.values()) {
      assert.deepEqual(fleet.entries(node), [0, 1, 2, 3, 4, 5]);
    }
  });

  it('finds out from the store alone that it was replaced', () => {
    const fleet = startFleet(3);
    const old = nodeOf(fleet, 1);
    fleet.network.isUp = () => false;
    fleet.startNode(1);
    fleet.run(6 * SETTLE_MS);
    assert.ok(old.state.membership.isSuperseded);
  });

  it('finds out from peers alone that it was replaced', () => {
    const fleet = startFleet(3);
    const old = nodeOf(fleet, 1);
    fleet.store.fault = node => (node === old ? 'unavailable' : 'none');
    fleet.startNode(1);
    // Others carry the gossip to it, since the world knows one node by a name.
    const next = nodeOf(fleet, 1);
    fleet.run(SETTLE_MS);
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

  it('holds beyond a full mesh: a dead node is left out by all within 3 s', () => {
    const fleet = startFleet(60);
    nodeOf(fleet, 7).kill();
    fleet.run(LEAVE_OUT_MS);
    const dead = 'n7' as NodeId;
    for (const node of fleet.world.nodes.values()) {
      if (!node.isAlive) continue;
      const live = livePeers(node.state, fleet.nowMs);
      assert.equal(live.length, 58);
      assert.ok(live.every(peer => peer.nodeId !== dead));
    }
  });
});
