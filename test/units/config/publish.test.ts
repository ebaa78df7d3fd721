import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {NodeId} from '../../../src/core/ids/index.js';
import type {OperatorAnswer} from '../../../src/core/operators/types.js';
import type {StoreOperation} from '../../../src/core/store/types.js';
import {VirtualFleet} from '../../support/virtual_fleet.js';
import {
  createOrganisationsFile,
  createServiceFile,
} from '../../support/config_files.js';

const PROPAGATION_MS = 5000;
const PROPAGATION_LARGE_MS = 17_000;

function startFleet(count = 6): VirtualFleet {
  const fleet = new VirtualFleet();
  fleet.start(count);
  fleet.run(5000);
  fleet.publishInitialConfig();
  return fleet;
}

function nodeOf(fleet: VirtualFleet, at: number) {
  return fleet.world.nodes.get(`n${at}` as NodeId)!;
}

function dataOf(answer: OperatorAnswer | undefined) {
  assert.ok(answer?.kind === 'ok', JSON.stringify(answer));
  return answer.data as {revision: number; changed: string[]};
}

function refusalOf(answer: OperatorAnswer | undefined) {
  assert.ok(answer?.kind === 'refused', JSON.stringify(answer));
  return answer;
}

function isSwap(operation: StoreOperation): boolean {
  return operation.kind === 'compareAndSwap' && operation.key === 'config/head';
}

function replicasOf(fleet: VirtualFleet, at: number, service: string) {
  const found = nodeOf(fleet, at).state.config.document.services.get(service);
  return found?.kind === 'model' ? found.replicas : undefined;
}

describe('publish', () => {
  it('reports every fault of every file and changes nothing', () => {
    const fleet = startFleet();
    const bad = createServiceFile('bad', 1);
    const text = bad.text.replace('30s', 'soon').replace('= 2', '= none');
    const asked = fleet.publish(nodeOf(fleet, 1), [
      {path: 'bad.ini', text},
      {path: 'odd.ini', text: '[odd]\nx = 1'},
    ]);
    const {refusal, details} = refusalOf(asked.answer);
    assert.equal(refusal.body.name, 'ConfigInvalid');
    assert.equal(refusal.body.verdict, 'not-run');
    assert.equal((details as {faults: unknown[]}).faults.length, 3);
    fleet.run(1000);
    assert.ok(fleet.revisions().every(revision => revision === 1));
  });

  for (const [count, limitMs] of [
    [18, PROPAGATION_MS],
    [90, PROPAGATION_LARGE_MS],
  ] as const) {
    it(`puts a publication in force at ${count} nodes within ${limitMs} ms`, () => {
      const fleet = startFleet(count);
      fleet.run(PROPAGATION_LARGE_MS);
      const asked = fleet.publish(nodeOf(fleet, 4), [
        createServiceFile('s', 2),
      ]);
      while (!asked.answer) fleet.run(1);
      assert.equal(dataOf(asked.answer).revision, 2);
      fleet.run(limitMs);
      assert.ok(fleet.revisions().every(revision => revision === 2));
      assert.equal(replicasOf(fleet, 7, 's'), 2);
    });
  }

  it('accepts one of two concurrent publications of a service and refuses the other with both texts', () => {
    const fleet = startFleet();
    const first = fleet.publish(nodeOf(fleet, 1), [createServiceFile('s', 2)], {
      operator: 'aroha',
    });
    const second = fleet.publish(nodeOf(fleet, 2), [createServiceFile('s', 3)]);
    fleet.run(1000);
    assert.equal(dataOf(first.answer).revision, 2);
    const {refusal, details} = refusalOf(second.answer);
    assert.equal(refusal.body.name, 'ConfigConflict');
    const {conflicts} = details as {conflicts: unknown[]};
    assert.deepEqual(conflicts, [
      {
        service: 's',
        yours: createServiceFile('s', 3).text,
        theirs: createServiceFile('s', 2).text,
        theirRevision: 2,
        theirOperator: 'aroha',
      },
    ]);
  });

  it('accepts concurrent publications of different services', () => {
    const fleet = startFleet();
    const asked = [1, 2, 3, 4].map(at =>
      fleet.publish(nodeOf(fleet, at), [createServiceFile(`s${at}`, at)]),
    );
    fleet.run(1000);
    const revisions = asked.map(one => dataOf(one.answer).revision);
    assert.deepEqual(revisions.sort(), [2, 3, 4, 5]);
    fleet.run(PROPAGATION_MS);
    for (const at of [0, 5]) {
      assert.deepEqual(
        [1, 2, 3, 4].map(one => replicasOf(fleet, at, `s${one}`)),
        [1, 2, 3, 4],
      );
    }
  });

  it('refuses a publication when the service changed since its base revision', () => {
    const fleet = startFleet();
    fleet.publish(nodeOf(fleet, 1), [createServiceFile('s', 2)]);
    fleet.run(1000);
    const late = fleet.publish(nodeOf(fleet, 2), [createServiceFile('s', 3)], {
      baseRevision: 1,
    });
    fleet.run(1000);
    const {refusal} = refusalOf(late.answer);
    assert.equal(refusal.body.name, 'ConfigConflict');
  });

  it('removes services without a file when it prunes', () => {
    const fleet = startFleet();
    fleet.publish(nodeOf(fleet, 1), [createServiceFile('t', 1)]);
    fleet.run(1000);
    const asked = fleet.publish(nodeOf(fleet, 1), [createServiceFile('t', 1)], {
      prune: true,
    });
    fleet.run(PROPAGATION_MS);
    assert.deepEqual(dataOf(asked.answer).changed, ['service/s']);
    assert.equal(replicasOf(fleet, 5, 's'), undefined);
    assert.equal(replicasOf(fleet, 5, 't'), 1);
  });

  it('accepts a publication once when the answer to its swap is lost', () => {
    const fleet = startFleet();
    let lost = 0;
    fleet.store.fault = (_node, operation) =>
      isSwap(operation) && lost++ === 0 ? 'lose-answer' : 'none';
    const asked = fleet.publish(nodeOf(fleet, 1), [createServiceFile('s', 2)]);
    fleet.run(PROPAGATION_MS);
    assert.equal(dataOf(asked.answer).revision, 2);
    assert.ok(fleet.revisions().every(revision => revision === 2));
  });

  it('accepts a publication once when it is sent again to another node', () => {
    const fleet = startFleet();
    const files = [createServiceFile('s', 2)];
    const options = {publicationId: 'again'};
    fleet.publish(nodeOf(fleet, 1), files, options);
    fleet.run(1000);
    fleet.publish(nodeOf(fleet, 3), [createServiceFile('s', 9)]);
    fleet.run(1000);
    const again = fleet.publish(nodeOf(fleet, 2), files, options);
    fleet.run(1000);
    assert.equal(dataOf(again.answer).revision, 2);
    assert.equal(replicasOf(fleet, 2, 's'), 9, 'the later one stays in force');
  });

  it('refuses with verdict not-run while the store is down', () => {
    const fleet = startFleet();
    fleet.store.fault = () => 'unavailable';
    const asked = fleet.publish(nodeOf(fleet, 1), [createServiceFile('s', 2)]);
    fleet.run(15_000);
    const {refusal} = refusalOf(asked.answer);
    assert.equal(refusal.body.name, 'StoreUnavailable');
    assert.equal(refusal.body.verdict, 'not-run');
  });

  it('refuses with verdict may-have-run when the outcome of the swap stays unknown', () => {
    const fleet = startFleet();
    let swapped = false;
    fleet.store.fault = (_node, operation) => {
      swapped ||= isSwap(operation);
      if (isSwap(operation)) return 'lose-answer';
      return swapped ? 'unavailable' : 'none';
    };
    const asked = fleet.publish(nodeOf(fleet, 1), [createServiceFile('s', 2)]);
    fleet.run(15_000);
    const {refusal} = refusalOf(asked.answer);
    assert.equal(refusal.body.name, 'StoreUnknown');
    assert.equal(refusal.body.verdict, 'may-have-run');
  });

  it('checks services against the organisations in force', () => {
    const fleet = startFleet();
    const asked = fleet.publish(nodeOf(fleet, 1), [
      {
        ...createOrganisationsFile(),
        text: createOrganisationsFile().text.replace('.o]', '.p]'),
      },
      createServiceFile('s', 2),
    ]);
    assert.equal(refusalOf(asked.answer).refusal.body.name, 'ConfigInvalid');
  });
});
