export type {NodeMetrics} from './node_metrics.js';
