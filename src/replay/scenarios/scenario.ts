import type {ScenarioReport} from './scenario_report.js';
import type {Trace} from './trace.js';

interface ScenarioOptions {
  /** Also runs the baselines and the system with each mechanism switched off. */
  readonly compare: boolean;
}

/** Replays traces of one kind in virtual time. Equal traces give equal reports. */
export interface Scenario {
  readonly name: string;
  run(trace: Trace, options: ScenarioOptions): ScenarioReport;
}
