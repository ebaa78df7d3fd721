import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {CallerOutcome} from '../../../src/replay/serving/index.js';
import type {LoadFlow} from '../../support/fair_load.js';
import {measureBy, runFairLoad} from '../../support/fair_load.js';
import {measureServing} from '../../../src/replay/serving/index.js';

const SEEDS = [1, 2];
const DURATION_MS = 10_000;
const FLOOD_FROM_MS = 2000;
const START_MS = 1_008_000;
const LARGE_COUNT = 3;
const POLITE_COUNT = 23;
const FLOODING = 23;

function isLarge(organisation: number): boolean {
  return organisation < LARGE_COUNT;
}

/** Requests of all organisations but the flooding one; three of them send more. */
function createPolite(
  kind: LoadFlow['kind'],
  smallPerS: number,
  largePerS: number,
  period: Pick<LoadFlow, 'fromMs' | 'toMs'> = {},
): LoadFlow[] {
  return Array.from({length: POLITE_COUNT}, (_, organisation) => ({
    kind,
    organisation,
    requestsPerS: isLarge(organisation) ? largePerS : smallPerS,
    ...period,
  }));
}

/** Runs a load with each seed; returns the outcomes of requests since the overload began. */
function simulate(
  flows: readonly LoadFlow[],
  isFair: boolean,
  options: {
    readonly priorities?: Readonly<Record<string, number>>;
    readonly weightOf?: (organisation: number) => number;
  } = {},
): CallerOutcome[] {
  return SEEDS.flatMap(seed => {
    const world = runFairLoad({
      seed,
      durationMs: DURATION_MS,
      flows,
      isFair,
      ...options,
    });
    assert.deepEqual(world.violations, []);
    const lines = world.logs.filter(line =>
      line.includes('most over-served organisation'),
    );
    // Six nodes, one line in five seconds each.
    assert.ok(lines.length <= 40, `${lines.length} log lines`);
    return world.outcomes.filter(
      ({arrivedAtMs}) => arrivedAtMs >= START_MS + FLOOD_FROM_MS,
    );
  });
}

function organisationOf({apiKey}: CallerOutcome): number {
  return Number(apiKey.slice('key-'.length));
}

function isPolite(outcome: CallerOutcome): boolean {
  return organisationOf(outcome) !== FLOODING;
}

function largestTenth(outcomes: readonly CallerOutcome[]): CallerOutcome[] {
  return [...outcomes]
    .sort((a, b) => b.promptTokens - a.promptTokens)
    .slice(0, Math.ceil(outcomes.length / 10));
}

/** Checks the floors that hold for every organisation, kind and size of prompt. */
function checkFloors(outcomes: readonly CallerOutcome[]): void {
  const all = measureServing(outcomes).whole;
  const groups = [
    ...measureBy(outcomes, ({apiKey}) => apiKey),
    ...measureBy(outcomes, ({kind}) => kind),
  ];
  for (const [name, {whole}] of groups) {
    assert.ok(whole >= 0.25 * all, `${name}: ${whole} against ${all}`);
  }
  for (const kind of new Set(outcomes.map(one => one.kind))) {
    const ofKind = outcomes.filter(one => one.kind === kind);
    const {whole} = measureServing(ofKind);
    const large = measureServing(largestTenth(ofKind)).whole;
    assert.ok(large >= 0.5 * whole, `large ${kind}: ${large} against ${whole}`);
  }
}

describe('a flood of one organisation', () => {
  for (const [place, nodeIndex] of [
    ['at a single node', 0],
    ['at all nodes', undefined],
  ] as const) {
    // Guards against a flood that takes the places of polite organisations, at its own node or at others.
    it(`${place} leaves the others their share`, () => {
      const flows: LoadFlow[] = [
        ...createPolite('draft', 1, 4),
        {
          kind: 'draft',
          organisation: FLOODING,
          requestsPerS: 80,
          fromMs: FLOOD_FROM_MS,
          nodeIndex,
        },
      ];
      const fair = simulate(flows, true);
      const unfair = simulate(flows, false);
      const small = (outcomes: readonly CallerOutcome[]) =>
        measureServing(
          outcomes.filter(
            one => isPolite(one) && !isLarge(organisationOf(one)),
          ),
        );
      const [on, off] = [small(fair), small(unfair)];
      const figures = `on time ${on.onTime} against ${off.onTime}, complete ${on.whole} against ${off.whole}`;
      assert.ok(on.onTime >= 0.7 && on.onTime >= off.onTime + 0.3, figures);
      assert.ok(on.whole >= 0.97 && on.whole > off.whole, figures);
      checkFloors(fair);
      const total = measureServing(fair).whole;
      const totalBefore = measureServing(unfair).whole;
      assert.ok(total >= 0.85 * totalBefore, `${total} of ${totalBefore}`);
    });
  }
});

describe('organisations with more demand than capacity', () => {
  // Guards against an order by arrival, which serves an organisation in proportion to what it sends.
  it('share the pool by service, not by demand', () => {
    const flows = createPolite('draft', 2, 12);
    const served = (isFair: boolean) => {
      const outcomes = simulate(flows, isFair);
      if (isFair) checkFloors(outcomes);
      return measureServing(
        outcomes.filter(one => !isLarge(organisationOf(one))),
      ).whole;
    };
    const [on, off] = [served(true), served(false)];
    assert.ok(on >= 0.9 && on >= off + 0.15, `${on} against ${off}`);
  });

  // Guards against a weight that is read but has no effect.
  it('get work in proportion to their weights', () => {
    // Each large one alone asks for more than a share of weight 3.
    const flows = createPolite('draft', 0.5, 40);
    const served = (weight: number) => {
      const outcomes = simulate(flows, true, {
        weightOf: at => (at === 0 ? weight : 1),
      });
      const count = (at: number) =>
        outcomes.filter(
          one => organisationOf(one) === at && one.result === 'whole',
        ).length;
      return count(0) / ((count(1) + count(2)) / 2);
    };
    const [heavy, equal] = [served(3), served(1)];
    assert.ok(equal > 0.75 && equal < 1.33, `equal weights: ratio ${equal}`);
    assert.ok(heavy > 1.8, `weight 3: ratio ${heavy}`);
  });
});

describe('a burst of bulk work beside a burst of urgent work', () => {
  const flows = [
    ...createPolite('draft', 0.9, 3),
    ...createPolite('draft', 0.9, 3, {fromMs: 4000, toMs: 9000}),
    ...createPolite('summary', 0.5, 2),
    ...createPolite('summary', 0.75, 3, {fromMs: FLOOD_FROM_MS}),
  ];
  const priorities = {draft: 0, summary: 5};

  // Guards against bulk that takes slots while urgent requests wait, and against bulk that gets none.
  it('delays bulk first, and leaves it its guaranteed part', () => {
    const fair = simulate(flows, true, {priorities});
    const unfair = simulate(flows, false, {priorities});
    const ofKind = (outcomes: readonly CallerOutcome[], kind: string) =>
      measureServing(outcomes.filter(one => one.kind === kind));
    const [on, off] = [ofKind(fair, 'draft'), ofKind(unfair, 'draft')];
    assert.ok(
      on.whole >= 0.92 && on.whole >= off.whole + 0.1,
      `urgent: complete ${on.whole} against ${off.whole}`,
    );
    assert.ok(
      on.onTime >= off.onTime + 0.08,
      `urgent: on time ${on.onTime} against ${off.onTime}`,
    );
    checkFloors(fair);
  });

  // Guards against urgent work that takes all capacity for good.
  it('serves bulk although urgent work exceeds the capacity', () => {
    const heavy = [
      ...createPolite('draft', 3, 14),
      ...createPolite('summary', 0.5, 2),
    ];
    const fair = simulate(heavy, true, {priorities});
    checkFloors(fair);
    const unfair = simulate(heavy, false, {priorities});
    const urgent = (outcomes: readonly CallerOutcome[]) =>
      measureServing(outcomes.filter(one => one.kind === 'draft')).whole;
    assert.ok(
      urgent(fair) > urgent(unfair),
      `urgent ${urgent(fair)} against ${urgent(unfair)}`,
    );
  });
});
