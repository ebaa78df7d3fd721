import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {NodeId} from '../../../src/core/ids/index.js';
import {SchedulingNode} from '../../support/scheduling_node.js';
import {makeId} from '../../../src/core/ids/index.js';

const SLOTS = 4;
const TARGETS = 5;
const STEP_MS = 50;

type Loss = (from: string, to: string) => boolean;

/** Nodes connected by direct delivery of their messages; `isLost` drops some. */
class CreditWorld {
  readonly nodes: SchedulingNode[];
  isLost: Loss = () => false;

  constructor(count: number, credits: boolean) {
    this.nodes = Array.from({length: count}, (_, at) => {
      const options = {slots: SLOTS, targets: TARGETS, name: `node-${at}`};
      const node = new SchedulingNode({
        ...options,
        schedulingOptions: {credits},
      });
      node.state.admission.options = {
        ...node.state.admission.options,
        pauses: false,
      };
      return node;
    });
    for (const node of this.nodes) {
      for (const other of this.nodes) {
        if (other !== node) addPeer(node, other.state.self.nodeId);
      }
    }
  }

  run(forMs: number): void {
    for (let at = 0; at < forMs; at += STEP_MS) {
      for (const node of this.nodes) this.carry(node, node.wait(STEP_MS));
    }
  }

  /** Work in flight at each target, over all nodes. */
  loads(): number[] {
    const loads = new Map<string, number>();
    for (const node of this.nodes) {
      for (const [targetId, load] of node.state.routing.loads) {
        loads.set(targetId, (loads.get(targetId) ?? 0) + load.own.size);
      }
    }
    return [...loads.values()];
  }

  private carry(
    node: SchedulingNode,
    effects: SchedulingNode['effects'],
  ): void {
    const from = node.state.self.nodeId;
    for (const effect of effects) {
      if (effect.type !== 'peerSend') continue;
      const {to, message} = effect;
      const peer = this.nodes.find(one => one.state.self.nodeId === to);
      if (!peer || this.isLost(from, to)) continue;
      if (!message.type.startsWith('routing.')) continue;
      const answers = peer.dispatch({
        type: 'peerExchanged',
        from,
        messages: [message],
      });
      this.carry(peer, answers);
    }
  }
}

function addPeer(node: SchedulingNode, nodeId: NodeId): void {
  const model = new SchedulingNode({peers: 1}).state.membership.peers;
  const [peer] = model.values();
  node.state.membership.peers.set(nodeId, {...peer!, nodeId});
}

/** Sends more requests to all nodes than there are slots; returns the work at each target. */
function overload(world: CreditWorld): number[] {
  for (const node of world.nodes) node.end(node.submitRequest());
  world.run(4000);
  for (let round = 0; round < 8; round++) {
    for (const node of world.nodes) node.submitRequest();
  }
  world.run(4000);
  return world.loads();
}

describe('dispatch credits', () => {
  test('nodes together use all slots of each target and never more', () => {
    const loads = overload(new CreditWorld(6, true));
    assert.deepEqual(loads, Array(TARGETS).fill(SLOTS));
  });

  test('without credits and reports, nodes together overload a target', () => {
    const loads = overload(new CreditWorld(6, false));
    assert.ok(Math.max(...loads) > SLOTS);
  });

  test('a node that lost its broker falls back to reports and starts its requests', () => {
    const world = new CreditWorld(3, true);
    for (const node of world.nodes) node.end(node.submitRequest());
    world.run(4000);
    world.isLost = () => true;
    world.run(4000);
    const node = world.nodes[0]!;
    const requestId = node.submitRequest();
    assert.ok(node.startedIds().includes(requestId));
  });

  test('two brokers that are cut off from each other lend at most twice the slots', () => {
    const world = new CreditWorld(6, true);
    const half = (name: string) => Number(name.slice(-1)) % 2;
    world.isLost = (from, to) => half(from) !== half(to);
    for (const node of world.nodes) {
      const own = half(node.state.self.nodeId);
      for (const nodeId of [...node.state.membership.peers.keys()]) {
        if (half(nodeId) !== own) node.state.membership.peers.delete(nodeId);
      }
    }
    const loads = overload(world);
    assert.ok(Math.max(...loads) <= 2 * SLOTS, loads.join(' '));
  });

  test('a broker lends fewer slots of a target that reports more work than its holders do', () => {
    const node = new SchedulingNode({
      slots: SLOTS,
      targets: 1,
      schedulingOptions: {credits: true},
    });
    node.end(node.submitRequest());
    for (let at = 0; at < 60; at++) {
      node.wait(STEP_MS);
      if (at % 10 === 0) node.report('t0', 3);
    }
    for (let at = 0; at < 4; at++) node.submitRequest();
    node.wait(STEP_MS);
    assert.equal(node.state.routing.loads.get(makeId('t0'))!.own.size, 1);
  });

  test('credits of a silent node are lent to others once they expire', () => {
    const world = new CreditWorld(2, true);
    for (const node of world.nodes) node.end(node.submitRequest());
    world.run(4000);
    world.nodes.pop();
    world.run(6000);
    const [left] = world.nodes;
    for (let at = 0; at < 30; at++) left!.submitRequest();
    world.run(3000);
    assert.deepEqual(world.loads(), Array(TARGETS).fill(SLOTS));
  });
});
