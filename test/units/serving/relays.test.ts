import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServingState} from '../../../src/core/serving/types.js';
import type {VmId} from '../../../src/core/ids/index.js';
import {ServingWorld, sendLoad} from '../../../src/replay/serving/index.js';
import {
  ServingNodeHarness,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {countPeersWithoutDigest} from '../../../src/core/serving/count_peers_without_digest.js';
import {createRandom} from '../../../src/core/random/index.js';
import {
  reduceServing,
  resolveEntries,
} from '../../../src/core/serving/index.js';

const ASSEMBLY_MS = 6000;

/** A fleet of three zones, each with two nodes that have more cores than the others. */
function createFleet(nodeCount: number, seed = 5): ServingWorld {
  return new ServingWorld({
    seed,
    nodeCount,
    domainCount: 3,
    domainSize: 11,
    coreCountOf: at => (at < 6 ? 1.35 : 0.3),
  });
}

function relaysOf(world: ServingWorld): ServingState[] {
  return world.nodes
    .filter(({isUp, state}) => isUp && state.exchange.relayRank >= 0)
    .map(({state}) => state);
}

/** Requests in flight at a target as one node counts them: its own and those that peers report. */
function countReportedInFlight(state: ServingState, vmId: VmId): number {
  const own = state.targetLoads.get(vmId)?.inFlight ?? 0;
  return own + (state.peerLoads.get(vmId)?.inFlight ?? 0);
}

function countActualInFlight(world: ServingWorld, vmId: VmId): number {
  return world.nodes.reduce(
    (sum, {state}) => sum + (state.targetLoads.get(vmId)?.inFlight ?? 0),
    0,
  );
}

/** Digests and rows that each node receives per second, under load. */
function measureExchange(nodeCount: number) {
  const world = createFleet(nodeCount);
  world.runFor(ASSEMBLY_MS);
  sendLoad(world, createRandom(1), {durationMs: 3000, requestsPerS: () => 30});
  const {digestCount, rowCount} = world.exchange;
  world.runFor(3000);
  const nodeSeconds = nodeCount * 3;
  return {
    digests: (world.exchange.digestCount - digestCount) / nodeSeconds,
    rows: (world.exchange.rowCount - rowCount) / nodeSeconds,
  };
}

describe('digest exchange through relays', () => {
  it('costs each of 300 nodes at most 1.5 times as much as each of 30', () => {
    const few = measureExchange(30);
    const many = measureExchange(300);
    assert.ok(
      many.digests <= 1.5 * few.digests,
      `digests ${many.digests} against ${few.digests}`,
    );
    assert.ok(
      many.rows <= 1.5 * few.rows,
      `rows ${many.rows} against ${few.rows}`,
    );
  });

  it('selects the two largest nodes of each zone as relays', () => {
    const world = createFleet(36);
    world.runFor(ASSEMBLY_MS);
    const relays = relaysOf(world);
    assert.deepEqual(relays.map(({nodeId}) => nodeId).sort(), [
      'n0',
      'n1',
      'n2',
      'n3',
      'n4',
      'n5',
    ]);
  });

  it('reports to each node the requests in flight at all others, and counts none twice', () => {
    const world = createFleet(36);
    world.runFor(ASSEMBLY_MS);
    sendLoad(world, createRandom(3), {
      durationMs: 4000,
      requestsPerS: () => 40,
    });
    let compared = 0;
    let error = 0;
    for (let at = 0; at < 30; at++) {
      world.runFor(100);
      for (const vmId of world.nodes[0]!.state.targets.keys()) {
        const actual = countActualInFlight(world, vmId);
        for (const {state} of world.nodes) {
          error += countReportedInFlight(state, vmId) - actual;
          compared += 1;
        }
      }
    }
    const meanError = Math.abs(error / compared);
    assert.ok(compared > 1000);
    // 40 requests a second on six heads, reported 200 ms late: an error of one and a third per head.
    assert.ok(meanError < 1.4, `mean error ${meanError}`);
    world.runFor(8000);
    for (const {state} of world.nodes) {
      for (const [vmId, load] of state.peerLoads) {
        assert.equal(load.inFlight, 0, `${state.nodeId} of ${vmId}`);
      }
    }
  });

  it('continues when the first relay of a zone or both of them fail', () => {
    for (const lostCount of [1, 2]) {
      const world = createFleet(36);
      world.runFor(ASSEMBLY_MS);
      const lost = [world.nodes[0]!, world.nodes[3]!].slice(0, lostCount);
      for (const node of lost) node.isUp = false;
      const leaf = world.nodes[33]!.state;
      assert.equal(leaf.zone, lost[0]!.state.zone);
      let oldestMs = 0;
      for (let at = 0; at < 50; at++) {
        world.runFor(100);
        const view = leaf.peers.get('fleet');
        oldestMs = Math.max(oldestMs, world.nowMs - (view?.atMs ?? -Infinity));
      }
      // With one relay lost, the other keeps sending; with both lost, new ones are tried after a second and send within this time.
      const maxAgeMs = lostCount === 1 ? 700 : 2000;
      assert.ok(oldestMs <= maxAgeMs, `${lostCount} lost: ${oldestMs} ms`);
      assert.equal(relaysOf(world).length, 6);
    }
  });

  it('restores the role of a relay after its restart', () => {
    const world = createFleet(36);
    world.runFor(ASSEMBLY_MS);
    const [first] = world.nodes;
    first!.isUp = false;
    world.runFor(3000);
    first!.isUp = true;
    world.runFor(3000);
    assert.equal(first!.state.exchange.relayRank, 0);
    assert.equal(relaysOf(world).length, 6);
  });

  it('counts no peer as missing that a summary includes', () => {
    const world = createFleet(36);
    world.runFor(ASSEMBLY_MS);
    const {state} = world.nodes[33]!;
    assert.ok(state.registeredPeerCount > 20);
    state.startedAtMs = world.nowMs;
    assert.equal(countPeersWithoutDigest(state, world.nowMs), 0);
    state.peers.clear();
    assert.equal(
      countPeersWithoutDigest(state, world.nowMs),
      state.registeredPeerCount,
    );
  });

  it('moves a node to the relayed exchange that registered few peers at its start because many were lost', () => {
    const world = createFleet(36);
    world.runFor(ASSEMBLY_MS);
    const lateNode = world.nodes[33]!;
    const few = [...lateNode.state.exchange.registeredNodes.values()].slice(
      0,
      6,
    );
    lateNode.state.exchange.isRelayed = false;
    lateNode.state.peers.clear();
    const registered = {type: 'peersRegistered' as const, nodes: few};
    reduceServing(lateNode.state, {...registered, nowMs: world.nowMs});
    assert.equal(lateNode.state.exchange.isRelayed, false);
    world.runFor(1500);
    assert.equal(lateNode.state.exchange.isRelayed, true);
    assert.deepEqual([...lateNode.state.peers.keys()], ['fleet']);
  });

  it("resolves to the largest nodes of the caller's zone, and to other zones when that zone is lost", () => {
    const world = createFleet(36);
    world.runFor(ASSEMBLY_MS);
    const {state} = world.nodes[33]!;
    const entries = resolveEntries(state, world.nowMs)!;
    const zoneOf = (address: string) =>
      world.nodes.find(node => node.state.callerAddress === address)!.state
        .zone;
    assert.equal(entries.length, 6);
    assert.ok(entries.every(address => zoneOf(address) === state.zone));
    assert.ok(entries.includes('10.0.1.0:80'));
    for (const node of world.nodes) {
      if (node.state.zone === state.zone) node.isUp = false;
    }
    world.runFor(3000);
    const other = world.nodes[1]!.state;
    const elsewhere = resolveEntries(other, world.nowMs, state.zone)!;
    assert.ok(elsewhere.length >= 6);
    assert.ok(elsewhere.every(address => zoneOf(address) !== state.zone));
  });
});

describe('reports of lost engines that peers forward', () => {
  it('expire by the age of the first report', () => {
    const node = new ServingNodeHarness().start();
    const {vmId, bornAtMs} = createTestEngine(0);
    const receiveReport = (ageMs: number) =>
      node.dispatch({
        type: 'digestReceived',
        digest: node.createPeerDigest({lostEngines: [{vmId, bornAtMs, ageMs}]}),
      });
    receiveReport(0);
    assert.equal(node.state.targets.has(vmId), false);
    for (let ageMs = 0; ageMs <= 25_000; ageMs += 500) {
      receiveReport(ageMs);
      node.advance(500);
    }
    assert.equal(node.state.targets.has(vmId), true);
  });
});
