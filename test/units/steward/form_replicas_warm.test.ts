import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EngineRecord} from '../../../src/core/fleet/types.js';
import type {ModelName, ServiceName} from '../../../src/core/ids/index.js';
import type {ServingStep} from '../../../src/core/serving/types.js';
import {SERVING_MODELS} from '../../../src/replay/serving/index.js';
import {
  ServingNodeHarness,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {createServingConfig} from '../../../src/replay/serving/create_serving_config.js';
import {formReplicas} from '../../../src/core/steward/form_replicas.js';
import {makeId} from '../../../src/core/ids/index.js';

const {large, small} = SERVING_MODELS;
const SERVICE = makeId<ServiceName>('pool');
const DOMAIN = 'd0';

/** Models of the replicas that are formed from free engines with these staged models. */
function formedModels(staged: readonly ModelName[]): (ModelName | undefined)[] {
  const node = new ServingNodeHarness().start();
  const {state} = node;
  state.steward.term = 1;
  state.steward.hasTraffic = true;
  const free = staged.map((model, at): EngineRecord => ({
    ...createTestEngine(at + 10),
    service: SERVICE,
    stagedModels: [model],
  }));
  node.dispatch({
    type: 'fleetListed',
    changes: free.map(engine => {
      const {vmId, revision} = engine;
      return {vmId, revision, engine};
    }),
    revision: 100,
  });
  const step: ServingStep = {state, nowMs: node.nowMs, effects: []};
  const costs = createServingConfig(SERVICE).services.get(SERVICE)!.engine!;
  formReplicas(step, SERVICE, costs, DOMAIN, free);
  return [...state.steward.tracks.values()].map(({model}) => model);
}

describe('forming replicas while the neediest model waits for its engines', () => {
  it('forms a replica of another model at once from engines that the neediest model cannot use', () => {
    const threeOf = (model: ModelName) => [model, model, model];
    assert.deepEqual(formedModels([...threeOf(large), ...threeOf(large)]), [
      large,
    ]);
    assert.deepEqual(formedModels([large, large, ...threeOf(small), small]), [
      small,
    ]);
  });

  it('keeps engines free that the neediest model can use', () => {
    assert.deepEqual(
      formedModels([large, large, large, large, small, small]),
      [],
    );
  });
});
