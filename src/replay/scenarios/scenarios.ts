import type {Scenario} from './scenario.js';
import {FleetScenario} from './fleet_scenario.js';
import {LoadScenario} from './load_scenario.js';
import {StoreOutageScenario} from './store_outage_scenario.js';

const ALL_SCENARIOS: readonly Scenario[] = [
  new LoadScenario('crest'),
  new LoadScenario('long-and-short'),
  new StoreOutageScenario(),
  new LoadScenario('overload'),
  new FleetScenario('domain-dark'),
  new FleetScenario('rolling-replace'),
];

/** Scenarios by the name in the `scenario` field of trace heads. */
export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  ALL_SCENARIOS.map(scenario => [scenario.name, scenario]),
);
