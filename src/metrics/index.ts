export {METRIC_DEFINITIONS} from './metric_definitions.js';
export {MetricRunner} from './metric_runner.js';
export {updateInFlightGauge} from './update_in_flight_gauge.js';
export {createNodeMetrics} from './create_node_metrics.js';
export {resolveEventRole} from './resolve_event_role.js';
export type * from './types.js';
