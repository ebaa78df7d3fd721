import type {Scenario} from './scenario.js';

const ALL: readonly Scenario[] = [];

/** Every scenario by the name that trace heads give in `scenario`. */
export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  ALL.map(scenario => [scenario.name, scenario]),
);
