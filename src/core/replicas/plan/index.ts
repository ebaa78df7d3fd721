export {DeficitPlanner} from './deficit_planner.js';
export {FirstComePlanner} from './first_come_planner.js';
export {resolveStandings} from './resolve_standings.js';
export type * from './types.js';
