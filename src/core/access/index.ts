export {indexRoutes} from './index_routes.js';
export {matchRoute} from './match_route.js';
export {selectShare} from './select_share.js';
export type * from './types.js';
