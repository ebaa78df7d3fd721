import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {MetricDefinition} from './metric_definition.js';
import type {NodeMetrics} from './node_metrics.js';
import {METRIC_DEFINITIONS} from './metric_definitions.js';

type Labels = Readonly<Record<string, string>>;
/** Adds a value to one metric. */
type RecordValue = (value: number, labels: Labels) => void;

/** Creates a node's registry with all defined metrics. Values under an undefined name are counted by that name. */
export function createNodeMetrics(): NodeMetrics {
  const registry = new Registry();
  const recorders = new Map<string, RecordValue>();
  const gauges: Gauge[] = [];
  for (const [name, definition] of Object.entries(METRIC_DEFINITIONS)) {
    recorders.set(name, createMetric(registry, gauges, name, definition));
  }
  return {
    count(name, value, labels = {}) {
      const record = recorders.get(name);
      if (record) record(value, labels);
      else recorders.get('unlisted')!(value, {name});
    },
    resetGauges() {
      for (const gauge of gauges) gauge.reset();
    },
    render: () => registry.metrics(),
  };
}

function createMetric(
  registry: Registry,
  gauges: Gauge[],
  name: string,
  definition: MetricDefinition,
): RecordValue {
  const options = {
    name: prometheusName(name, definition.kind),
    help: definition.help,
    labelNames: [...definition.labels],
    registers: [registry],
  };
  if (definition.kind === 'histogram') {
    const buckets = [...definition.buckets!];
    const histogram = new Histogram({...options, buckets});
    return (value, labels) => histogram.observe(labels, value);
  }
  if (definition.kind === 'gauge') {
    const gauge = new Gauge(options);
    gauges.push(gauge);
    return (value, labels) => gauge.inc(labels, value);
  }
  const counter = new Counter(options);
  return (value, labels) => counter.inc(labels, value);
}

/** `firstTokenMs` becomes `rhubarbstile_first_token_ms`; counters end in `_total`. */
function prometheusName(name: string, kind: MetricDefinition['kind']): string {
  const snake = name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
  return `rhubarbstile_${snake}${kind === 'counter' ? '_total' : ''}`;
}
