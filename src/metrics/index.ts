export {MetricRunner} from './metric_runner.js';
export {createNodeMetrics} from './create_node_metrics.js';
export type * from './types.js';
