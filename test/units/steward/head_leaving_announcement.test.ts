import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServingWorld} from '../../../src/replay/serving/index.js';

const ASSEMBLY_MS = 6000;

function startWorld() {
  const world = new ServingWorld({
    seed: 11,
    nodeCount: 4,
    domainCount: 3,
    domainSize: 11,
  });
  world.runFor(ASSEMBLY_MS);
  const steward = world.nodes.find(
    ({state}) => state.steward.term !== undefined,
  )!;
  const router = world.nodes.find(node => node !== steward)!;
  const head = [...world.engines.values()].find(one => one.isServing)!;
  return {world, steward, router, head, vmId: head.record.vmId};
}

describe('a replica whose head announces that it is leaving', () => {
  it('is closed by the steward, once a probe of the head confirms it', () => {
    const {world, router, head, vmId} = startWorld();
    head.announcesLeaving = true;
    world.dispatch(router, {type: 'engineAnnounced', vmId, isLeaving: true});
    world.runFor(1500);
    assert.equal(head.isServing, false);
    for (const {state} of world.nodes) assert.ok(!state.targets.has(vmId));
    assert.deepEqual(world.violations, []);
  });

  it('stays open when the head does not confirm the announcement that another node reported', () => {
    const {world, router, head, vmId} = startWorld();
    world.dispatch(router, {type: 'engineAnnounced', vmId, isLeaving: true});
    world.runFor(4000);
    assert.equal(head.isServing, true);
    world.runFor(20_000);
    const users = world.nodes.filter(({state}) => state.targets.has(vmId));
    assert.equal(users.length, world.nodes.length - 1);
  });
});
