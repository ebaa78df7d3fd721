export {LOAD_TRACE_PLANS} from './load_trace_plans.js';
export {generateLoadTrace} from './generate_load_trace.js';
