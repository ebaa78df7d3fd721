import type {LoadTracePlan} from './load_trace_plan.js';

const GOALS = {
  shortWaitToRoundRobin: {max: 0.25},
  shortWaitToLeastOutstanding: {max: 0.5},
  inDeadlineGain: {min: 0},
  longSlowdown: {max: 1.2},
  fairness: {min: 0.99},
  afterWaitP95Ms: {max: 1000},
};

const CREST: LoadTracePlan = {
  scenario: 'crest',
  seed: 20260404,
  warmMs: 25_000,
  crestMs: 10_000,
  afterMs: 15_000,
  usualPerSecond: 80,
  crestFactor: 2.6,
  longShare: 0.03,
  refusers: [],
  outcomes: GOALS,
};

const LONG_AND_SHORT: LoadTracePlan = {
  scenario: 'long-and-short',
  seed: 20260405,
  warmMs: 20_000,
  crestMs: 10_000,
  afterMs: 5_000,
  usualPerSecond: 60,
  crestFactor: 1.4,
  longShare: 0.08,
  refusers: [],
  outcomes: GOALS,
};

const OVERLOAD: LoadTracePlan = {
  scenario: 'overload',
  seed: 20260406,
  warmMs: 12_000,
  crestMs: 8_000,
  afterMs: 10_000,
  usualPerSecond: 80,
  crestFactor: 5,
  longShare: 0.03,
  burst: {organisation: 'festival-shop', share: 0.3},
  refusers: [20, 41],
  outcomes: {
    longSlowdown: {max: 1.2},
    fairness: {min: 0.99},
    afterWaitP95Ms: {max: 2000},
  },
};

/** Plans of the load traces in the repository, by scenario name. */
export const LOAD_TRACE_PLANS: ReadonlyMap<string, LoadTracePlan> = new Map(
  [CREST, LONG_AND_SHORT, OVERLOAD].map(plan => [plan.scenario, plan]),
);
