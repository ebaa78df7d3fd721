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

/** Variants that run without `--compare`: the system and both baselines. */
const DEFAULT_VARIANT_COUNT = 3;

/**
 * Replays changing load on a fleet: with the system, the baselines, and each
 * mechanism switched off in turn.
 */
export class LoadScenario implements Scenario {
  constructor(readonly name: string) {}

  run(trace: Trace, options: {readonly compare: boolean}): ScenarioReport {
    const variants = options.compare
      ? LOAD_VARIANTS
      : LOAD_VARIANTS.slice(0, DEFAULT_VARIANT_COUNT);
    const results = variants.map(variant => runVariant(trace, variant));
    const [system, roundRobin, leastOutstanding] = results as [
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
        ...system,
        shortWaitToRoundRobin: ratio(system, roundRobin, 'shortWaitP95Ms'),
        shortWaitToLeastOutstanding: ratio(
          system,
          leastOutstanding,
          'shortWaitP95Ms',
        ),
        inDeadlineGain: round(
          system.allInDeadline -
            Math.max(roundRobin.allInDeadline, leastOutstanding.allInDeadline),
        ),
        longSlowdown: round(system.longMeanMs / bestLongMs),
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
  const rows = variants.map((variant, index) => [
    variant.name,
    ...columns.map(column => results[index]![column]),
  ]);
  return {title, columns: ['', ...columns], rows};
}

function ratio(
  system: LoadMeasures,
  other: LoadMeasures,
  name: keyof LoadMeasures,
): number {
  return round(system[name] / Math.max(1, other[name]));
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
