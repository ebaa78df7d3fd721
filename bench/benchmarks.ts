import type {Benchmark} from './benchmark.js';
import {capacity} from './capacity.js';
import {decisionCost} from './decision_cost.js';
import {relay} from './relay.js';

/** Every benchmark that `npm run bench -- <name>` knows. */
export const BENCHMARKS: readonly Benchmark[] = [capacity, decisionCost, relay];
