import assert from 'node:assert/strict';
import fc from 'fast-check';
import {propertyOptions} from '../../support/property_options.js';
import {test} from 'node:test';
import type {NodeId} from '../../../src/core/ids/index.js';
import type {OperatorAnswer} from '../../../src/core/operators/types.js';
import type {VirtualNode} from '../../../src/replay/index.js';
import {VirtualFleet} from '../../support/virtual_fleet.js';
import {createServiceFile} from '../../support/config_files.js';

const NODES = 9;
const RUNS = 100;
const SETTLE_MS = 60_000;

const at = fc.nat(NODES - 1);
const step = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('publish' as const),
      at,
      service: fc.nat(2),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('freeze' as const), at})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('thaw' as const), at})},
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('replace' as const), at}),
  },
  {weight: 3, arbitrary: fc.record({kind: fc.constant('cut' as const), at})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('heal' as const)})},
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('storeDown' as const), at}),
  },
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('loseAnswers' as const)}),
  },
  {weight: 2, arbitrary: fc.record({kind: fc.constant('storeUp' as const)})},
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('slow' as const),
      latencyMs: fc.nat(900),
    }),
  },
);
const plan = fc.record({
  seed: fc.nat(1000),
  steps: fc.array(fc.tuple(step, fc.integer({min: 1, max: 1500})), {
    minLength: 8,
    maxLength: 24,
  }),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Applies one step of a schedule; a publication is appended to `publications`. */
function apply(
  fleet: VirtualFleet,
  one: Step,
  publications: {answer?: OperatorAnswer}[],
): void {
  const node = 'at' in one ? nodeOf(fleet, one.at) : undefined;
  switch (one.kind) {
    case 'publish':
      if (!node!.isRunning) return;
      publications.push(
        fleet.publish(node!, [
          createServiceFile(`s${one.service}`, publications.length),
        ]),
      );
      return;
    case 'freeze':
      return node!.freeze();
    case 'thaw':
      return node!.thaw();
    case 'replace':
      node!.kill();
      fleet.startNode(one.at, {seedPeers: ['10.0.0.0:81', '10.0.0.1:81']});
      return;
    case 'cut':
      fleet.network.isUp = (from, to) =>
        (from === `n${one.at}`) === (to === `n${one.at}`);
      return;
    case 'heal':
      fleet.network.isUp = () => true;
      return;
    case 'storeDown':
      // One node still reaches the store, so that a partition from the store is covered too.
      fleet.store.fault = caller =>
        caller.state.self.nodeId === `n${one.at}` ? 'none' : 'unavailable';
      return;
    case 'loseAnswers':
      fleet.store.fault = caller =>
        caller.state.random.next() < 0.3 ? 'lose-answer' : 'none';
      return;
    case 'storeUp':
      fleet.store.fault = () => 'none';
      return;
    case 'slow':
      fleet.network.latencyMs = one.latencyMs;
  }
}

function nodeOf(fleet: VirtualFleet, index: number): VirtualNode {
  return fleet.world.nodes.get(`n${index}` as NodeId)!;
}

test('under random schedules revisions never decrease, equal revisions have equal content, and accepted publications end in force', () => {
  fc.assert(
    fc.property(plan, ({seed, steps}) => {
      const fleet = new VirtualFleet(seed);
      const highest = new Map<VirtualNode, number>();
      const contents = new Map<number, string>();
      const check = () => {
        for (const node of fleet.world.nodes.values()) {
          const {document, texts} = node.state.config;
          const {revision} = document;
          assert.ok(revision >= (highest.get(node) ?? 0), 'went down');
          highest.set(node, revision);
          const content = [...texts].map(([key, {digest}]) => key + digest);
          const text = content.sort().join();
          assert.equal(text, contents.get(revision) ?? text, 'differs');
          contents.set(revision, text);
        }
      };
      const run = (ms: number) => {
        for (let passed = 0; passed < ms; passed += 50) {
          fleet.run(Math.min(50, ms - passed));
          check();
        }
      };
      fleet.start(NODES);
      run(5000);
      fleet.publishInitialConfig();
      const publications: {answer?: OperatorAnswer}[] = [];
      for (const [one, pauseMs] of steps) {
        apply(fleet, one, publications);
        run(pauseMs);
      }
      fleet.network.isUp = () => true;
      fleet.network.latencyMs = 1;
      fleet.store.fault = () => 'none';
      for (let n = 0; n < NODES; n++) nodeOf(fleet, n).thaw();
      run(SETTLE_MS);
      checkEnd(fleet, publications);
    }),
    propertyOptions(RUNS, 5),
  );
});

function checkEnd(
  fleet: VirtualFleet,
  publications: readonly {answer?: OperatorAnswer}[],
): void {
  const [entry] = fleet.store.platform.list('config/head');
  const head = JSON.parse(entry!.value) as {
    revision: number;
    publications: {publicationId: string}[];
  };
  assert.deepEqual(new Set(fleet.revisions()), new Set([head.revision]));
  const kept = head.publications.map(one => one.publicationId);
  assert.equal(new Set(kept).size, kept.length, 'accepted twice');
  for (const {answer} of publications) {
    if (answer?.kind !== 'ok') continue;
    const data = answer.data as {isNew: boolean; publicationId: string};
    if (data.isNew) assert.ok(kept.includes(data.publicationId));
  }
}
