import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Organisation} from '../../../src/core/access/types.js';
import type {OrganisationId, VmId} from '../../../src/core/ids/index.js';
import type {
  RequestRecord,
  ServingStep,
} from '../../../src/core/serving/types.js';
import {
  ServingNodeHarness,
  createTestConfig,
} from '../../support/serving_node_harness.js';
import {fairQueue} from '../../../src/core/serving/fair_queue/index.js';
import {makeId} from '../../../src/core/ids/index.js';
import {resolveTargetLoad} from '../../../src/core/serving/resolve_target_load.js';

const POOL = 'desk';

function idOf(at: number): OrganisationId {
  return makeId<OrganisationId>(`o${at}`);
}

/** A node with organisations `o0`, `o1` and so on, whose pool admits 20 requests of `o0` a second. */
function createStep(organisationCount: number): ServingStep {
  const node = new ServingNodeHarness().start();
  const organisations = Array.from({length: organisationCount}, (_, at) => {
    const organisation: Organisation = {organisationId: idOf(at)};
    return [`key-${at}`, organisation] as const;
  });
  const {state, nowMs} = node;
  state.config = {
    ...createTestConfig(1),
    organisationsByKey: new Map(organisations),
  };
  for (let at = 0; at < 200; at++) {
    fairQueue.recordAdmitted(
      {state, nowMs: nowMs + at * 50, effects: []},
      createRecord(0, nowMs),
    );
  }
  // The targets are as full as this node's part of their slots.
  for (const {vmId, slotCount} of state.targets.values()) {
    resolveTargetLoad(state, vmId as VmId).inFlight = slotCount;
  }
  return {state, nowMs: nowMs + 10_000, effects: []};
}

let recordCount = 0;

function createRecord(
  organisation: number,
  nowMs: number,
  overrides: Partial<RequestRecord> & {readonly promptTokens?: number} = {},
): RequestRecord {
  recordCount += 1;
  return {
    request: {
      requestId: `r${recordCount}`,
      promptTokens: overrides.promptTokens ?? 500,
    },
    pool: POOL,
    organisationId: idOf(organisation),
    priority: 1,
    goalAtMs: nowMs + 200,
    waitDeadlineAtMs: nowMs + 1000,
    verdict: 'not-run',
    hasPartialResponse: false,
    ...overrides,
  } as unknown as RequestRecord;
}

function createRecords(
  count: number,
  organisation: number,
  nowMs: number,
  overrides: Partial<RequestRecord> = {},
): RequestRecord[] {
  return Array.from({length: count}, () =>
    createRecord(organisation, nowMs, overrides),
  );
}

describe('the order of waiting requests', () => {
  // Guards against a change for deployments without organisations.
  it('stays by urgency with fewer than two organisations', () => {
    const step = createStep(1);
    const {nowMs} = step;
    const first = createRecord(0, nowMs, {goalAtMs: nowMs + 10});
    const second = createRecord(1, nowMs, {
      goalAtMs: nowMs + 20,
      hasPartialResponse: true,
    });
    const waiting = [second, first];
    fairQueue.order(step, POOL, waiting);
    assert.deepEqual(waiting, [first, second]);
    assert.equal(step.state.fairQueue.pools.size, 0);
  });

  // Guards against an order by arrival among organisations.
  it('puts the organisation with the least service first, and alternates between equal ones', () => {
    const step = createStep(3);
    const {nowMs} = step;
    const waiting = [
      ...createRecords(2, 0, nowMs, {goalAtMs: nowMs + 1}),
      ...createRecords(2, 1, nowMs, {goalAtMs: nowMs + 2}),
      ...createRecords(2, 2, nowMs, {goalAtMs: nowMs + 3}),
    ];
    fairQueue.order(step, POOL, waiting);
    assert.deepEqual(
      waiting.map(one => one.organisationId),
      [1, 2, 1, 2, 0, 0].map(idOf),
    );
  });

  // Guards against large prompts that wait until no small one is left.
  it('does not put a large prompt behind small ones of an equal organisation', () => {
    const step = createStep(3);
    const {nowMs} = step;
    const large = createRecord(1, nowMs, {
      promptTokens: 30_000,
      goalAtMs: nowMs + 1,
    });
    const small = createRecords(5, 2, nowMs, {goalAtMs: nowMs + 2});
    const waiting = [...small, large];
    fairQueue.order(step, POOL, waiting);
    assert.equal(waiting[0], large);
  });

  // Guards against streams that stand still while new requests are served.
  it('puts a stream that its caller has part of first', () => {
    const step = createStep(2);
    const {nowMs} = step;
    const stream = createRecord(0, nowMs, {
      hasPartialResponse: true,
      priority: 5,
      goalAtMs: nowMs - 500,
    });
    const waiting = [...createRecords(3, 1, nowMs, {priority: 0}), stream];
    fairQueue.order(step, POOL, waiting);
    assert.equal(waiting[0], stream);
  });
});

describe('a pool that one organisation uses with one priority', () => {
  // Guards against a change of order and refusals where nothing is shared.
  it('is served and refused as without the mechanism', () => {
    const step = createStep(3);
    const {nowMs} = step;
    const stream = createRecord(0, nowMs, {
      hasPartialResponse: true,
      goalAtMs: nowMs - 500,
    });
    const waiting = [stream, ...createRecords(80, 0, nowMs)];
    step.state.waitingByPool.set(POOL, waiting);
    fairQueue.order(step, POOL, waiting);
    assert.equal(waiting.at(-1), stream);
    assert.deepEqual(fairQueue.selectRejected(step, POOL, waiting), []);
    assert.equal(fairQueue.bookRoomMs(step, POOL), undefined);
  });
});

describe('the queue of a target', () => {
  // Guards against a level of an earlier time, which makes a single organisation over-served when its traffic grows.
  it('is open to an organisation that has the pool to itself, and closed to an over-served one', () => {
    const step = createStep(3);
    const {nowMs} = step;
    const waiting = [createRecord(0, nowMs)];
    fairQueue.order(step, POOL, waiting);
    for (let at = 0; at < 50; at++) fairQueue.recordAdmitted(step, waiting[0]!);
    assert.equal(fairQueue.canUseTargetQueue(step, waiting[0]!), true);
    waiting.push(createRecord(1, nowMs));
    fairQueue.order(step, POOL, waiting);
    const isOpen = (at: number) =>
      fairQueue.canUseTargetQueue(step, createRecord(at, nowMs));
    assert.deepEqual([isOpen(0), isOpen(1)], [false, true]);
  });
});

describe('load shedding', () => {
  // Guards against refusals that lateness alone causes.
  it('keeps late requests that can be served within their wait', () => {
    const step = createStep(2);
    const {nowMs} = step;
    const waiting = [
      ...createRecords(14, 0, nowMs, {goalAtMs: nowMs - 100}),
      createRecord(1, nowMs, {goalAtMs: nowMs - 100}),
    ];
    fairQueue.order(step, POOL, waiting);
    assert.deepEqual(fairQueue.selectRejected(step, POOL, waiting), []);
  });

  // Guards against requests that wait until their deadline in vain.
  it('refuses what exceeds the queue, of the most over-served organisation', () => {
    const step = createStep(24);
    const {nowMs} = step;
    const waiting = [
      ...createRecords(80, 0, nowMs),
      ...Array.from({length: 10}, (_, at) => createRecord(at + 1, nowMs)),
    ];
    fairQueue.order(step, POOL, waiting);
    const rejected = fairQueue.selectRejected(step, POOL, waiting);
    assert.ok(rejected.length >= 50 && rejected.length <= 75);
    assert.ok(rejected.every(one => one.organisationId === idOf(0)));
  });

  // Guards against urgent requests that are refused while bulk waits.
  it('refuses bulk before urgent requests, and leaves bulk its guaranteed part', () => {
    const step = createStep(24);
    const {nowMs} = step;
    const waiting = [
      ...createRecords(30, 1, nowMs, {priority: 0}),
      ...createRecords(40, 2, nowMs, {priority: 5}),
    ];
    fairQueue.order(step, POOL, waiting);
    const rejected = fairQueue.selectRejected(step, POOL, waiting);
    assert.ok(rejected.length > 20);
    assert.ok(rejected.every(({priority}) => priority === 5));
    assert.ok(rejected.length < 40, 'some bulk is kept');
  });

  // Guards against the refusal of urgent requests of an organisation under its share.
  it('refuses no urgent request of an organisation under its share while other work waits', () => {
    const step = createStep(24);
    const {nowMs} = step;
    const polite = createRecords(80, 1, nowMs, {priority: 0});
    const waiting = [...polite, ...createRecords(2, 2, nowMs, {priority: 5})];
    fairQueue.order(step, POOL, waiting);
    const rejected = fairQueue.selectRejected(step, POOL, waiting);
    assert.ok(rejected.every(one => !polite.includes(one)));
  });

  // Guards against a request that may have run and is refused as if it had not.
  it('refuses only requests that have not run', () => {
    const step = createStep(2);
    const {nowMs} = step;
    const waiting = [0, 1].flatMap(at =>
      createRecords(40, at, nowMs, {verdict: 'may-have-run'}),
    );
    fairQueue.order(step, POOL, waiting);
    assert.deepEqual(fairQueue.selectRejected(step, POOL, waiting), []);
  });

  // Guards against refused callers that all return at the same time.
  it('gives successive times at which there is room', () => {
    const step = createStep(2);
    const {state, nowMs} = step;
    const waiting = [0, 1].flatMap(at => createRecords(10, at, nowMs));
    state.waitingByPool.set(POOL, waiting);
    fairQueue.order(step, POOL, waiting);
    const times = [1, 2, 3].map(() => fairQueue.bookRoomMs(step, POOL)!);
    // 20 waiting requests at 20 a second, and one more for each refusal.
    assert.ok(times[0]! > 900 && times[0]! < 1250, `first ${times[0]}`);
    assert.ok(times[1]! - times[0]! > 40 && times[2]! - times[1]! > 40);
  });
});
