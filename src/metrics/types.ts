export type {MetricDefinition} from './metric_definition.js';
export type {NodeMetrics} from './node_metrics.js';
