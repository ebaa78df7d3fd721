import type {LoadFleet} from '../load/load_fleet.js';
import type {LoadMeasures} from '../load/load_measures.js';
import type {LoadLine} from '../load/load_line.js';
import type {LoadVariant} from '../load/load_variant.js';
import type {Scenario} from './scenario.js';
import type {ScenarioReport} from './scenario_report.js';
import type {Trace} from './trace.js';
import {LOAD_VARIANTS} from '../load/load_variants.js';
import {measureLoad} from '../load/measure_load.js';
import {parseLoadLine} from '../load/parse_load_line.js';
import {runLoad} from '../load/run_load.js';

/** How many of the variants run without `--compare`: the system and both baselines. */
const VARIANTS_OF_PLAIN_RUN = 3;

/** Demand swings over a fleet: the system, the baselines, and each mechanism off in turn. */
export class LoadScenario implements Scenario {
  constructor(readonly name: string) {}

  run(trace: Trace, options: {readonly compare: boolean}): ScenarioReport {
    const variants = options.compare
      ? LOAD_VARIANTS
      : LOAD_VARIANTS.slice(0, VARIANTS_OF_PLAIN_RUN);
    const results = variants.map(variant => runVariant(trace, variant));
    const [ours, roundRobin, leastOutstanding] = results as [
      LoadMeasures,
      LoadMeasures,
      LoadMeasures,
    ];
    const bestLongMs = Math.min(
      roundRobin.longMeanMs,
      leastOutstanding.longMeanMs,
    );
    return {
      measures: {
        ...ours,
        shortWaitToRoundRobin: ratio(ours, roundRobin, 'shortWaitP95Ms'),
        shortWaitToLeastOutstanding: ratio(
          ours,
          leastOutstanding,
          'shortWaitP95Ms',
        ),
        inDeadlineGain: round(
          ours.allInDeadline -
            Math.max(roundRobin.allInDeadline, leastOutstanding.allInDeadline),
        ),
        longSlowdown: round(ours.longMeanMs / bestLongMs),
      },
      tables: [createTable(this.name, variants, results)],
    };
  }
}

function runVariant(trace: Trace, variant: LoadVariant): LoadMeasures {
  const fleet = trace.head['fleet'] as LoadFleet;
  const lines = trace.lines as readonly LoadLine[];
  const requests = lines.map(parseLoadLine);
  const {seed} = trace.head;
  const outcomes = runLoad({fleet, requests, seed, prepare: variant.prepare});
  return measureLoad(fleet, outcomes);
}

function createTable(
  title: string,
  variants: readonly LoadVariant[],
  results: readonly LoadMeasures[],
) {
  const columns = Object.keys(results[0]!) as (keyof LoadMeasures)[];
  const rows = variants.map((variant, at) => [
    variant.name,
    ...columns.map(column => results[at]![column]),
  ]);
  return {title, columns: ['', ...columns], rows};
}

function ratio(
  ours: LoadMeasures,
  other: LoadMeasures,
  name: keyof LoadMeasures,
): number {
  return round(ours[name] / Math.max(1, other[name]));
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
