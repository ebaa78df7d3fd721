import type {Scenario} from './scenario.js';
import {FleetScenario} from './fleet_scenario.js';
import {LoadScenario} from './load_scenario.js';
import {StoreOutageScenario} from './store_outage_scenario.js';

const ALL: readonly Scenario[] = [
  new LoadScenario('crest'),
  new LoadScenario('long-and-short'),
  new StoreOutageScenario(),
  new LoadScenario('overload'),
  new FleetScenario('domain-dark'),
  new FleetScenario('rolling-replace'),
];

/** Every scenario by the name that trace heads give in `scenario`. */
export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  ALL.map(scenario => [scenario.name, scenario]),
);
