import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  SERVING_MODELS,
  ServingWorld,
} from '../../../src/replay/serving/index.js';

const {large, small} = SERVING_MODELS;

function createWorld(seed: number, lateOrderShare = 0): ServingWorld {
  return new ServingWorld({
    seed,
    nodeCount: 4,
    domainCount: 3,
    domainSize: 11,
    lateOrderShare,
  });
}

describe('assembly of replicas', () => {
  it('forms one replica of each model per domain, and preloads the spares', () => {
    const world = createWorld(1);
    world.runFor(6000);
    assert.equal(world.countServing(large), 3);
    assert.equal(world.countServing(small), 3);
    const spares = [...world.engines.values()].filter(({record}) =>
      record.membership?.replicaId.startsWith('spare'),
    );
    const warm = spares.filter(
      ({record}) => record.membership?.stage === 'ready',
    );
    assert.equal(warm.length, 6);
    assert.deepEqual(world.violations, []);
  });

  it('replaces a lost member with a preloaded spare before the store reports the loss', () => {
    const world = createWorld(2);
    world.runFor(6000);
    sendSteadily(world, 8000);
    world.runFor(3000);
    const member = [...world.engines.values()].find(
      ({record}) => record.membership?.rank === 1 && record.models[0] === large,
    )!;
    world.crashEngine(member.record.vmId, {isSilent: true});
    world.runFor(2500);
    assert.equal(world.countServing(large), 3);
    assert.deepEqual(world.violations, []);
  });

  it('keeps the members of an unreachable head reserved until it must have stopped serving', () => {
    const world = createWorld(3);
    world.runFor(6000);
    sendSteadily(world, 12_000);
    world.runFor(3000);
    const head = [...world.engines.values()].find(
      ({record}) =>
        record.membership?.rank === 0 &&
        record.membership.stage === 'open' &&
        record.models[0] === large,
    )!;
    const {vmId} = head.record;
    // The head keeps running and serving, but no node can reach it.
    world.network.isReachable = (_node, to) => to !== vmId;
    world.runFor(5000);
    assert.deepEqual(world.violations, []);
    world.network.isReachable = () => true;
    world.runFor(4000);
    assert.equal(world.countServing(large), 3);
    assert.deepEqual(world.violations, []);
  });

  it('replaces a lost steward without changing replicas that serve', () => {
    const world = createWorld(4);
    world.runFor(6000);
    const before = [...world.engines.values()].map(
      ({record}) => record.membership?.replicaId,
    );
    world.restartSteward();
    world.runFor(4000);
    const after = [...world.engines.values()].map(
      ({record}) => record.membership?.replicaId,
    );
    assert.deepEqual(after, before);
  });

  it('replaces a slow member with a preloaded spare', () => {
    const world = createWorld(5);
    world.runFor(6000);
    sendSteadily(world, 8000);
    world.runFor(2000);
    const member = [...world.engines.values()].find(
      ({record}) => record.membership?.rank === 2 && record.models[0] === large,
    )!;
    member.slowdownFactor = 6;
    world.runFor(4000);
    const heads = [...world.engines.values()].filter(one => one.isServing);
    const {vmId} = member.record;
    assert.ok(heads.every(({members}) => !members.includes(vmId)));
    assert.equal(world.countServing(large), 3);
    assert.deepEqual(world.violations, []);
  });
});

/** Sends short streams at a steady rate, so that a stalled replica is noticed. */
function sendSteadily(world: ServingWorld, forMs: number): void {
  for (let atMs = 0; atMs < forMs; atMs += 40) {
    world.after(atMs, () => {
      const isLarge = atMs % 80 === 0;
      world.send({
        kind: isLarge ? 'chat' : 'draft',
        path: isLarge ? '/chat/' : '/draft/',
        model: isLarge ? large : small,
        promptTokens: 500,
        events: 20,
      });
    });
  }
}
