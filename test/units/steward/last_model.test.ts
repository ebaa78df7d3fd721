import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EngineRecord} from '../../../src/core/fleet/types.js';
import type {
  ModelName,
  ReplicaId,
  ServiceName,
} from '../../../src/core/ids/index.js';
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
const SIZE = 6;

/** Members of a replica of the large model, the first of them its head; their hosts hold the small one. */
function createMembers(): EngineRecord[] {
  return Array.from({length: SIZE}, (_, rank) => ({
    ...createTestEngine(rank + 10),
    service: SERVICE,
    models: [large],
    stagedModels: [small],
    membership: {
      replicaId: makeId<ReplicaId>('e10~1'),
      epoch: 1,
      rank,
      stage: rank === 0 ? ('open' as const) : ('ready' as const),
    },
  }));
}

/** The record of an engine that has left its replica: it reports neither a replica nor a model. */
function createLeft(engine: EngineRecord): EngineRecord {
  const {membership, ...rest} = engine;
  assert.ok(membership);
  return {...rest, models: [], sequence: 2, revision: engine.revision + 100};
}

/** Models of the replicas that are formed at once from the members of a replica after these changes of their records. */
function formedModels(changes: readonly EngineRecord[]): ModelName[] {
  const node = new ServingNodeHarness().start();
  const {state} = node;
  state.steward.term = 1;
  const members = createMembers();
  const toChange = (engine: EngineRecord) => {
    const {vmId, revision} = engine;
    return {vmId, revision, engine};
  };
  node.dispatch({
    type: 'fleetListed',
    changes: members.map(toChange),
    revision: 100,
  });
  for (const engine of changes) {
    node.dispatch({
      type: 'fleetChanged',
      changes: [toChange(engine)],
      revision: engine.revision,
    });
  }
  const step: ServingStep = {state, nowMs: node.nowMs, effects: []};
  const costs = createServingConfig(SERVICE).services.get(SERVICE)!.engine!;
  const free = members.map(({vmId}) => state.engines.get(vmId)!);
  formReplicas(step, SERVICE, costs, DOMAIN, free);
  return [...state.steward.tracks.values()].map(({model}) => model);
}

describe('the model of the replica that an engine has left', () => {
  it('can be served again at once', () => {
    const [head] = createMembers();
    assert.deepEqual(formedModels([createLeft(head!)]), [large]);
  });

  it('is kept while the engine reports neither a replica nor a model', () => {
    const left = createLeft(createMembers()[0]!);
    const reported = {...left, sequence: 3, revision: left.revision + 1};
    assert.deepEqual(formedModels([left, reported]), [large]);
  });

  it('is not kept when the engine restarts', () => {
    const left = createLeft(createMembers()[0]!);
    const restarted = {...left, bornAtMs: 2, sequence: 0};
    assert.deepEqual(formedModels([restarted]), []);
    const later = {...restarted, revision: left.revision + 1};
    assert.deepEqual(formedModels([left, later]), []);
  });

  it('is not kept when the engine leaves before it has joined the replica', () => {
    const left = createLeft(createMembers()[0]!);
    const joining: EngineRecord = {
      ...left,
      models: [large],
      membership: {
        replicaId: makeId<ReplicaId>('e10~2'),
        epoch: 2,
        rank: 0,
        stage: 'joining',
      },
      revision: left.revision + 1,
    };
    const leftAgain = {...createLeft(joining), revision: left.revision + 2};
    assert.deepEqual(formedModels([left, joining, leftAgain]), []);
  });

  it('is not kept once the engine has left a replica of another model', () => {
    const left = createLeft(createMembers()[0]!);
    const joined: EngineRecord = {
      ...left,
      models: [small],
      membership: {
        replicaId: makeId<ReplicaId>('e10~2'),
        epoch: 2,
        rank: 0,
        stage: 'open',
      },
      revision: left.revision + 1,
    };
    const leftAgain = {...createLeft(joined), revision: left.revision + 2};
    assert.deepEqual(formedModels([left, joined, leftAgain]), []);
  });
});
