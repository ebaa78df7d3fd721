import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {StewardWorld} from '../../support/steward_world.js';

/** Long enough for a VM to be declared lost, too short for documents to be treated as stale. */
const SHORT_SILENCE_MS = 5900;
/** Time after which a pending watch has ended. */
const WATCH_MS = 12_000;
/** Time limit for a node to learn that a target is leaving. */
const LEAVING_MS = 2000;

function countStarts(world: StewardWorld): () => number {
  const {onStart} = world.fleet;
  let starts = 0;
  world.fleet.onStart = leader => {
    onStart(leader);
    starts += 1;
  };
  return () => starts;
}

function sendFor(world: StewardWorld, forMs: number): void {
  const node = world.nodes[0]!;
  world.runChecked(forMs, () => void world.request(node, 'feeding'));
}

suite('exclusion of targets', () => {
  test('a member that reports that it is leaving: no new requests after 2 s, and none cut off', () => {
    const world = new StewardWorld({fencingShare: 1, vmsPerDomain: 2});
    const starts = countStarts(world);
    sendFor(world, 1000);
    world.members[1]!.isLeaving = true;
    sendFor(world, LEAVING_MS);
    const before = starts();
    const running = world.members[0]!.running.size;
    sendFor(world, 5000);
    assert.equal(starts(), before);
    assert.ok(running <= 4 && before > 0);
    assert.deepEqual(world.checks.faults, []);
  });

  test('a member that the VM list marks as leaving: no new requests after 2 s', () => {
    const world = new StewardWorld({fencingShare: 1, vmsPerDomain: 2});
    const starts = countStarts(world);
    const leaving = world.members[1]!.record;
    world.listVms(
      world.store.platform
        .listVms()
        .map(one =>
          one.vmId === leaving.vmId ? {...one, state: 'leaving'} : one,
        ),
    );
    sendFor(world, LEAVING_MS);
    const before = starts();
    sendFor(world, 5000);
    assert.equal(starts(), before);
  });

  test('a VM list that lacks one reporting VM excludes its replica until it is listed again', () => {
    const world = new StewardWorld({fencingShare: 1});
    const [, member] = world.members;
    const all = world.store.platform.listVms();
    world.request(world.nodes[0]!, 'feeding');
    world.listVms(all.filter(one => one.vmId !== member!.record.vmId));
    world.runChecked(1200);
    assert.equal(world.countServing('feeding', world.nodes[0]!), 0);
    world.listVms(all);
    world.runChecked(1200);
    assert.equal(world.countServing('feeding', world.nodes[0]!), 1);
  });

  test('a VM list that lacks most reporting VMs is ignored', () => {
    const world = new StewardWorld({fencingShare: 1});
    world.listVms([]);
    world.runChecked(10_000);
    for (const node of world.nodes) {
      assert.equal(world.countServing('feeding', node), 1);
    }
  });

  test('a node with an outdated document sends nothing to a replica whose VM was reassigned', () => {
    const world = new StewardWorld({fencingShare: 0});
    const starts = countStarts(world);
    const [staleNode] = world.others;
    const [leader] = world.members;
    world.store.fault = node => (node === staleNode ? 'unavailable' : 'none');
    world.runChecked(WATCH_MS);
    leader!.freeze();
    world.runChecked(SHORT_SILENCE_MS);
    // A leader that missed the replacement of its VM, and that no steward can reach to release it.
    world.fleet.isUp = (node, vmId) =>
      node === staleNode || vmId !== leader!.record.vmId;
    leader!.thaw();
    world.runChecked(4000);
    const before = starts();
    world.runChecked(5000, () => void world.request(staleNode!, 'feeding'));
    assert.equal(starts(), before);
    assert.deepEqual(world.checks.faults, []);
  });

  test('streams on a replica that lost a VM move to another replica', () => {
    const world = new StewardWorld({
      fencingShare: 1,
      vmsPerDomain: 4,
      replicas: 2,
    });
    const node = world.nodes[0]!;
    for (let count = 0; count < 6; count++) world.request(node, 'feeding');
    world.run(500);
    world.members[1]!.freeze();
    world.runChecked(10_000);
    assert.equal(node.state.requests.byId.size, 0);
  });

  test('replicas of an unreachable domain are used again only after their document was read', () => {
    const world = new StewardWorld({fencingShare: 1, domains: 2});
    const node = world.nodes[0]!;
    const engines = [...world.fleet.engines.values()];
    for (const engine of engines) engine.freeze();
    world.runChecked(10_000);
    world.store.fault = () => 'unavailable';
    for (const engine of engines) engine.thaw();
    world.runChecked(3000);
    assert.equal(world.countServing('feeding', node), 0);
    world.store.fault = () => 'none';
    world.runChecked(8000);
    assert.equal(world.countServing('feeding', node), 1);
  });
});
