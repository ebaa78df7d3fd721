export {applyLimit} from './apply_limit.js';
export {createRateLimitState} from './create_rate_limit_state.js';
export {expireLimits} from './expire_limits.js';
export {findLimitPerS} from './find_limit_per_s.js';
export type * from './types.js';
