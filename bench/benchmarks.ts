import type {Benchmark} from './benchmark.js';
import {capacity} from './capacity.js';
import {decisionCost} from './decision_cost.js';
import {relay} from './relay.js';

/** All benchmarks of `npm run bench -- <name>`. */
export const BENCHMARKS: readonly Benchmark[] = [capacity, decisionCost, relay];
