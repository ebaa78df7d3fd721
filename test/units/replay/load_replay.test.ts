import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {readFileSync} from 'node:fs';
import {
  SCENARIOS,
  checkOutcomes,
  parseTrace,
} from '../../../src/replay/scenarios/index.js';
import type {Trace} from '../../../src/replay/scenarios/index.js';
import {
  LOAD_TRACE_PLANS,
  generateLoadTrace,
} from '../../../src/replay/traces/index.js';
import {DEFAULT_SCHEDULING} from '../../../src/core/admission/index.js';
import type {LoadFleet} from '../../../src/replay/load/load_fleet.js';
import type {LoadLine} from '../../../src/replay/load/load_line.js';
import type {SchedulingOptions} from '../../../src/core/admission/types.js';
import {measureLoad} from '../../../src/replay/load/measure_load.js';
import {parseLoadLine} from '../../../src/replay/load/parse_load_line.js';
import {runLoad} from '../../../src/replay/load/run_load.js';

const NAMES = ['crest', 'long-and-short', 'overload'];
const SMALL_PLAN = {
  ...LOAD_TRACE_PLANS.get('crest')!,
  warmMs: 3000,
  crestMs: 3000,
  afterMs: 1000,
  longShare: 0,
};

function loadText(name: string): string {
  return readFileSync(`test/fixtures/traces/${name}.jsonl`, 'utf8');
}

function replay(trace: Trace) {
  return SCENARIOS.get(trace.head.scenario)!.run(trace, {compare: false});
}

/** Runs a trace with some mechanisms switched off. */
function measureWith(trace: Trace, switches: Partial<SchedulingOptions>) {
  const fleet = trace.head['fleet'] as LoadFleet;
  const lines = trace.lines as readonly LoadLine[];
  const outcomes = runLoad({
    fleet,
    requests: lines.map(parseLoadLine),
    seed: trace.head.seed,
    prepare: state => {
      state.admission.options = {...DEFAULT_SCHEDULING, ...switches};
    },
  });
  return measureLoad(fleet, outcomes);
}

describe('load replays', () => {
  for (const name of NAMES) {
    test(`${name}.jsonl equals the output of the generator`, () => {
      const written = generateLoadTrace(LOAD_TRACE_PLANS.get(name)!);
      assert.equal(loadText(name), written);
    });

    test(`${name}.jsonl meets its expected outcomes`, () => {
      const trace = parseTrace(loadText(name))!;
      const outcomes = checkOutcomes(trace, replay(trace));
      const missed = outcomes.filter(outcome => !outcome.isMet);
      assert.deepEqual(missed, []);
    });
  }

  test('equal traces give equal reports', () => {
    const trace = parseTrace(generateLoadTrace(SMALL_PLAN))!;
    assert.equal(JSON.stringify(replay(trace)), JSON.stringify(replay(trace)));
  });

  test('short requests wait longer in the load peak without credits, pauses or shortFirst', () => {
    const trace = parseTrace(loadText('crest'))!;
    const baselineMs = measureWith(trace, {}).shortWaitP95Ms;
    for (const name of ['credits', 'pauses', 'shortFirst'] as const) {
      const withoutMs = measureWith(trace, {[name]: false}).shortWaitP95Ms;
      assert.ok(
        withoutMs > 2 * baselineMs,
        `${name}: ${withoutMs} against ${baselineMs}`,
      );
    }
  });

  test('an expected outcome that is not met or not measured is reported', () => {
    const trace = parseTrace(generateLoadTrace(SMALL_PLAN))!;
    const outcomes = {shortWaitP95Ms: {max: -1}, unheardOf: {min: 0}};
    const strict = {...trace, head: {...trace.head, outcomes}};
    const found = checkOutcomes(strict, replay(trace));
    assert.deepEqual(
      found.map(one => one.isMet),
      [false, false],
    );
  });
});
