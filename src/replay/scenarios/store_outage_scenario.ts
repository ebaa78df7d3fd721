import type {OutagePlan} from '../outage/outage_plan.js';
import type {Scenario} from './scenario.js';
import type {ScenarioReport} from './scenario_report.js';
import type {Trace} from './trace.js';
import {runOutage} from '../outage/run_outage.js';

const VARIANTS = [
  {name: 'system', hasBudget: true, hasJitter: true},
  {name: 'without jitter', hasBudget: true, hasJitter: false},
  {name: 'without budget', hasBudget: false, hasJitter: true},
  {name: 'without both', hasBudget: false, hasJitter: false},
] as const;

/**
 * Replays a long outage of the store: requests served and refused meanwhile,
 * and load on the store when it returns.
 */
export class StoreOutageScenario implements Scenario {
  readonly name = 'store-outage';

  run(trace: Trace, options: {readonly compare: boolean}): ScenarioReport {
    const plan = trace.head['plan'] as OutagePlan;
    const {seed} = trace.head;
    const variants = options.compare ? VARIANTS : VARIANTS.slice(0, 1);
    const results = variants.map(variant =>
      runOutage({plan, seed, ...variant}),
    );
    const columns = Object.keys(results[0]!) as (keyof (typeof results)[0])[];
    const rows = columns.map(column => [
      column,
      ...results.map(result => result[column]),
    ]);
    const title = this.name;
    return {
      measures: {...results[0]!},
      tables: [{title, columns: ['', ...variants.map(v => v.name)], rows}],
    };
  }
}
