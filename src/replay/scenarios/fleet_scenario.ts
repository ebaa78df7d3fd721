import type {FleetFault} from '../fleet/fleet_fault.js';
import type {FleetMeasures} from '../fleet/fleet_measures.js';
import type {FleetPlan} from '../fleet/fleet_plan.js';
import type {Scenario} from './scenario.js';
import type {ScenarioReport} from './scenario_report.js';
import type {Trace} from './trace.js';
import {runFleet} from '../fleet/run_fleet.js';

const BASELINE = 'first-come';

/**
 * Replays failures of VMs, domains and nodes and changes of service files;
 * compares with a baseline that rebuilds replicas in first-come order.
 */
export class FleetScenario implements Scenario {
  constructor(readonly name: string) {}

  run(trace: Trace, {compare}: {readonly compare: boolean}): ScenarioReport {
    const {head, lines} = trace;
    const plan = head['fleet'] as FleetPlan;
    const faults = lines as readonly FleetFault[];
    const measured = runFleet(plan, head.seed, faults, 'deficit-first');
    if (!compare) return createReport(measured, [['system', measured]]);
    const baseline = runFleet(plan, head.seed, faults, BASELINE);
    const report = createReport(measured, [
      ['system', measured],
      [BASELINE, baseline],
    ]);
    const ratios = computeRatios(measured, baseline);
    return {...report, measures: {...report.measures, ...ratios}};
  }
}

function createReport(
  measures: FleetMeasures,
  rows: readonly (readonly [string, FleetMeasures])[],
): ScenarioReport {
  const columns = Object.keys(measures) as (keyof FleetMeasures)[];
  return {
    measures: {...measures},
    tables: [
      {
        title: 'replicas under failures',
        columns: ['planner', ...columns],
        rows: rows.map(([name, row]) => [
          name,
          ...columns.map(column => row[column]),
        ]),
      },
    ],
  };
}

function computeRatios(
  measured: FleetMeasures,
  baseline: FleetMeasures,
): Record<string, number> {
  const ratio = (name: keyof FleetMeasures) =>
    Math.round((measured[name] / Math.max(1, baseline[name])) * 1000) / 1000;
  return {
    downToFirstCome: ratio('replicaDownSeconds'),
    strandedToFirstCome: ratio('strandedVmSeconds'),
    ordersToFirstCome: ratio('orders'),
    loadsToFirstCome: ratio('weightLoads'),
  };
}
