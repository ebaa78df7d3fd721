import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {FleetWorld} from '../../../src/replay/fleet/index.js';

const SERVICES = [
  {name: 'feeding', replicas: 2, vmsPerReplica: 3},
  {name: 'letters', replicas: 1, vmsPerReplica: 2},
];

function createWorld(): FleetWorld {
  return new FleetWorld({
    seed: 7,
    nodes: 3,
    domains: 3,
    vmsPerDomain: 5,
    services: SERVICES,
  });
}

suite('replica creation', () => {
  test('replicas that the service files request are created and serve requests', () => {
    const fleet = createWorld();
    fleet.run(20_000);
    for (const node of fleet.nodes) {
      assert.equal(fleet.countServing('feeding', node), 2);
      assert.equal(fleet.countServing('letters', node), 1);
    }
    const [node] = fleet.nodes;
    let starts = 0;
    fleet.fleet.onStart = () => (starts += 1);
    fleet.request(node!, 'feeding');
    fleet.run(5000);
    assert.equal(starts, 1);
    assert.equal(node!.state.requests.byId.size, 0);
    assert.equal(fleet.fleet.orders, 8);
  });
});
