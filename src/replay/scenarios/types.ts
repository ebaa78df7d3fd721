export type {Outcome} from './outcome.js';
export type {OutcomeBound} from './outcome_bound.js';
export type {Scenario} from './scenario.js';
export type {ScenarioReport} from './scenario_report.js';
export type {Trace} from './trace.js';
