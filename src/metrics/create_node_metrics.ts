import {Counter, Registry} from 'prom-client';
import type {NodeMetrics} from './node_metrics.js';

/** Creates a node's registry. */
export function createNodeMetrics(): NodeMetrics {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  return {
    count(name, value, labels = {}) {
      let counter = counters.get(name);
      if (!counter) {
        counter = new Counter({
          name: `rhubarbstile_${name.replace(/[A-Z]/g, c => '_' + c.toLowerCase())}`,
          help: name,
          labelNames: Object.keys(labels),
          registers: [registry],
        });
        counters.set(name, counter);
      }
      counter.inc(labels, value);
    },
    render: () => registry.metrics(),
  };
}
