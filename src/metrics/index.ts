export {METRIC_DEFINITIONS} from './metric_definitions.js';
export {MetricRunner} from './metric_runner.js';
export {countInFlight} from './count_in_flight.js';
export {createNodeMetrics} from './create_node_metrics.js';
export {eventRole} from './event_role.js';
export type * from './types.js';
