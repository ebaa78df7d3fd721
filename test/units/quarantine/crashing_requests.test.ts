import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {propertyOptions} from '../../support/property_options.js';
import type {RequestId} from '../../../src/core/ids/index.js';
import {CrashWorld} from '../../support/crash_world.js';

const SEED = 4;
const SCHEDULES = 300;
const NODES = 3;
const RESENDS = 6;
/** Five crashes show the prefix; three more requests may be on their way. */
const MAX_LOST_BY_PREFIX = 8;

function nameOf(world: CrashWorld, requestId: RequestId): string | undefined {
  const answer = world.answers.get(requestId);
  return answer === 'ran' ? 'ran' : answer?.name;
}

/** Sends a crashing request repeatedly, to the nodes in turn. */
function keepCrashing(world: CrashWorld): RequestId {
  let last = world.send(0, 'crash');
  for (let at = 1; at <= RESENDS; at++) {
    world.runFor(3000);
    last = world.send(at % NODES, 'crash');
  }
  world.runFor(10_000);
  return last;
}

test('a request that crashes its targets is refused by every node after two losses', () => {
  const world = new CrashWorld(SEED, 8);
  const last = keepCrashing(world);
  assert.equal(world.lostEngineCount, 2);
  const answer = world.answers.get(last);
  assert.ok(answer && answer !== 'ran');
  assert.equal(answer.name, 'Quarantined');
  assert.equal(answer.verdict, 'not-run');
  assert.ok(answer.retryAfterMs! > 0 && answer.retryAfterMs! <= 300_000);
});

test('a prompt prefix that crashes its targets stops reaching them although no two requests with it are alike', () => {
  const world = new CrashWorld(SEED, 8);
  for (let at = 0; at < 12; at++) {
    world.send(at % NODES, `crash ${at}`, ['shared', 'bad', `own ${at}`]);
    world.runFor(3000);
  }
  assert.ok(
    world.lostEngineCount <= MAX_LOST_BY_PREFIX,
    `${world.lostEngineCount} were lost`,
  );
});

test('a quarantine ends after its duration', () => {
  const world = new CrashWorld(SEED, 8);
  keepCrashing(world);
  world.runFor(320_000);
  const again = world.send(1, 'crash');
  world.runFor(1000);
  assert.notEqual(nameOf(world, again), 'Quarantined');
  assert.ok(world.lostEngineCount > 2);
});

test('a request does not crash a single restarting target a third time', () => {
  const world = new CrashWorld(SEED, 1);
  keepCrashing(world);
  assert.equal(world.lostEngineCount, 2);
});

test('a broken connection to a live target leaves no suspect', () => {
  const world = new CrashWorld(SEED, 4);
  world.runMs = 20_000;
  const ids = ['a', 'b', 'c'].map((body, at) => world.send(at, body));
  for (let times = 0; times < 3; times++) {
    world.runFor(2000);
    for (const engine of world.engines) world.breakConnections(engine);
  }
  world.runFor(2000);
  for (let at = 0; at < NODES; at++) {
    assert.equal(world.node(at).state.quarantine.suspects.size, 0);
  }
  world.runFor(60_000);
  for (const id of ids) assert.equal(nameOf(world, id), 'ran');
});

test('other requests on the lost targets complete, and at most two targets are lost', () => {
  fc.assert(
    fc.property(
      fc.nat(),
      fc.integer({min: 4, max: 8}),
      fc.integer({min: 3, max: 24}),
      (seed, engines, bystanders) => {
        const world = new CrashWorld(seed, engines);
        const ids = Array.from({length: bystanders}, (_, at) =>
          world.send(at % NODES, `bystander ${at}`),
        );
        keepCrashing(world);
        world.runFor(30_000);
        assert.ok(
          world.lostEngineCount <= 2,
          `${world.lostEngineCount} were lost`,
        );
        for (const id of ids) assert.equal(nameOf(world, id), 'ran');
      },
    ),
    propertyOptions(SCHEDULES, SEED),
  );
});
