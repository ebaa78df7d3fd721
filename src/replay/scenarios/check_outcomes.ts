import type {Outcome} from './outcome.js';
import type {ScenarioReport} from './scenario_report.js';
import type {Trace} from './trace.js';

/**
 * Compares the expected outcomes of a trace with the measures; an outcome
 * without a measure is not met.
 */
export function checkOutcomes(trace: Trace, report: ScenarioReport): Outcome[] {
  return Object.entries(trace.head.outcomes).map(([name, bound]) => {
    const measured = report.measures[name];
    if (measured === undefined) return {name, bound, isMet: false};
    const {min = -Infinity, max = Infinity} = bound;
    return {name, bound, measured, isMet: measured >= min && measured <= max};
  });
}
