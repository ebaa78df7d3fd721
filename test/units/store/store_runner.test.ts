import assert from 'node:assert/strict';
import {it} from 'node:test';
import type {EffectOf} from '../../../src/core/effects/types.js';
import type {NodeContext} from '../../../src/runtime/types.js';
import type {OperationId} from '../../../src/core/ids/index.js';
import type {StoreOutcome} from '../../../src/core/store/types.js';
import type {UndatedEvent} from '../../../src/core/events/types.js';
import {STORE_PRIORITY} from '../../../src/core/store/index.js';
import {StoreRunner} from '../../../src/store/index.js';
import {resolveCallShare} from '../../../src/store/resolve_call_share.js';
import {makeId} from '../../../src/core/ids/index.js';

const PLATFORM = {maxCallsPerSecond: 10, fleetCallsPerSecond: 1000};

interface Fixture {
  readonly runner: StoreRunner;
  /** Keys in the order in which the store was called. */
  readonly called: string[];
  readonly results: {key: string; outcome: StoreOutcome}[];
}

function createFixture(): Fixture {
  const called: string[] = [];
  const results: Fixture['results'] = [];
  const context = {
    settings: {platform: PLATFORM},
    state: {membership: {peers: new Map()}},
    clock: {nowMs: () => performance.now()},
    metrics: {count: () => {}},
    events: {
      dispatch: (event: UndatedEvent) => {
        if (event.type !== 'storeResult') return;
        results.push({key: event.operationId, outcome: event.outcome});
      },
    },
  } as unknown as NodeContext;
  const runner = new StoreRunner(context, {
    call: async operation => {
      called.push('key' in operation ? operation.key : operation.kind);
      return {kind: 'ok'};
    },
    close: async () => {},
  });
  return {runner, called, results};
}

function call(key: string, priority: number): EffectOf<'store'> {
  return {
    type: 'store',
    area: 'config',
    operationId: makeId<OperationId>(key),
    priority,
    timeoutMs: 60_000,
    operation: {kind: 'get', key},
  };
}

it('calls the store in order of priority once the budget is spent', async () => {
  const {runner, called} = createFixture();
  runner.handle(call('first', STORE_PRIORITY.audit));
  runner.handle(call('audit', STORE_PRIORITY.audit));
  runner.handle(call('config', STORE_PRIORITY.config));
  runner.handle(call('claim', STORE_PRIORITY.onceClaim));
  runner.handle(call('lease', STORE_PRIORITY.lease));
  await runner.close();
  assert.deepEqual(called, ['first', 'claim', 'lease', 'config', 'audit']);
});

it('refuses low priority work at once when its half of the queue is full', () => {
  const {runner, results} = createFixture();
  for (let n = 0; n < 300; n++) {
    runner.handle(call(`audit-${n}`, STORE_PRIORITY.audit));
  }
  const refused = results.length;
  assert.ok(refused > 0);
  assert.deepEqual(results[0]!.outcome, {
    kind: 'unavailable',
    cause: 'budget',
  });
  runner.handle(call('claim', STORE_PRIORITY.onceClaim));
  assert.equal(results.length, refused, 'a claim is still queued');
  runner.destroy();
});

it('divides the call budget of the fleet among the live nodes', () => {
  const rates = {maxCallsPerSecond: 100, fleetCallsPerSecond: 1500};
  assert.equal(resolveCallShare(rates, 3), 100);
  assert.equal(resolveCallShare(rates, 620), 2);
});
