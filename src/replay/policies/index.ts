export {LeastOutstandingPolicy} from './least_outstanding_policy.js';
export {RoundRobinPolicy} from './round_robin_policy.js';
