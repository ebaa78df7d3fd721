import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {suite, test} from 'node:test';
import {FleetScenario} from '../../../src/replay/scenarios/fleet_scenario.js';
import type {Trace} from '../../../src/replay/scenarios/trace.js';
import {checkOutcomes} from '../../../src/replay/scenarios/check_outcomes.js';
import {parseTrace} from '../../../src/replay/scenarios/parse_trace.js';

const SHORT_MS = 130_000;

function readTrace(name: string): Trace {
  return parseTrace(
    readFileSync(`test/fixtures/traces/${name}.jsonl`, 'utf8'),
  )!;
}

function runCompared(name: string): void {
  const trace = readTrace(name);
  const report = new FleetScenario(name).run(trace, {compare: true});
  const missed = checkOutcomes(trace, report).filter(one => !one.isMet);
  assert.deepEqual(missed, []);
}

suite('replays of fleet failures', () => {
  test('domain-dark meets its expected outcomes against the first-come planner', () => {
    runCompared('domain-dark');
  });

  test('rolling-replace meets its expected outcomes against the first-come planner', () => {
    runCompared('rolling-replace');
  });

  test('replaying the same trace twice gives equal reports', () => {
    const {head, lines} = readTrace('domain-dark');
    const fleet = {...(head['fleet'] as object), durationMs: SHORT_MS};
    const short = {head: {...head, fleet}, lines};
    const runs = [1, 2].map(() =>
      JSON.stringify(
        new FleetScenario('domain-dark').run(short, {compare: false}),
      ),
    );
    assert.equal(runs[0], runs[1]);
  });
});
