import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {
  SCENARIOS,
  checkOutcomes,
  parseTrace,
} from '../../../src/replay/scenarios/index.js';

const TRACE = 'test/fixtures/traces/store-outage.jsonl';

test('during an hour without the store repeatable requests are answered, others are refused at once, and the store is not overloaded when it returns', () => {
  const trace = parseTrace(readFileSync(TRACE, 'utf8'));
  assert.ok(trace);
  const scenario = SCENARIOS.get(trace.head.scenario)!;
  const report = scenario.run(trace, {compare: false});
  const outcomes = checkOutcomes(trace, report);
  assert.ok(outcomes.length > 0);
  assert.deepEqual(
    outcomes.filter(outcome => !outcome.isMet),
    [],
  );
  assert.ok(report.measures['unrepeatableSent']! > 1000);
});
