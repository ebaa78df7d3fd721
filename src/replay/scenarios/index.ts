export {SCENARIOS} from './scenarios.js';
export {checkOutcomes} from './check_outcomes.js';
export {parseTrace} from './parse_trace.js';
export type * from './types.js';
