import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createNodeMetrics} from '../../../src/metrics/index.js';

test('counters, histograms and gauges follow their definitions, and undefined names are counted', async () => {
  const metrics = createNodeMetrics();
  metrics.count('requests', 1, {service: 'chat', verdict: 'ran'});
  metrics.count('requests', 1, {service: 'chat', verdict: 'ran'});
  metrics.count('firstTokenMs', 40, {service: 'chat'});
  metrics.count('inFlight', 1, {
    service: 'chat',
    class: 'short',
    phase: 'running',
  });
  metrics.resetGauges();
  metrics.count('inFlight', 1, {
    service: 'chat',
    class: 'long',
    phase: 'queued',
  });
  metrics.count('notDefined', 3);
  const text = await metrics.render();
  const expected = [
    'rhubarbstile_requests_total{service="chat",verdict="ran"} 2',
    'rhubarbstile_first_token_ms_bucket{le="50",service="chat"} 1',
    'rhubarbstile_first_token_ms_bucket{le="25",service="chat"} 0',
    'rhubarbstile_in_flight{service="chat",class="long",phase="queued"} 1',
    'rhubarbstile_unlisted_total{name="notDefined"} 3',
    '# HELP rhubarbstile_store_calls_total Calls to the platform, by kind and outcome.',
  ];
  for (const line of expected)
    assert.ok(text.includes(line), line + '\n' + text);
  assert.ok(!text.includes('class="short"'));
});
