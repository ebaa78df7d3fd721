import type {LoadVariant} from './load_variant.js';
import type {NodeState} from '../../core/state/types.js';
import type {SchedulingOptions} from '../../core/admission/types.js';
import {DEFAULT_SCHEDULING} from '../../core/admission/index.js';
import {LeastOutstandingPolicy, RoundRobinPolicy} from '../policies/index.js';

/**
 * All mechanisms off: requests are dispatched at once and wait in the queue of
 * a target, first come, first served.
 */
const FIFO: SchedulingOptions = {
  shortFirst: false,
  longShare: false,
  pauses: false,
  fairness: false,
  deadlineRefusal: false,
  retryBudget: false,
  prefixAffinity: false,
  relativeSpeed: false,
  ejection: false,
  credits: false,
  loadCorrection: false,
};

/**
 * Offset between the starting positions of consecutive nodes, so that nodes do
 * not pick the same targets.
 */
const START_OFFSET = 7;

function roundRobin(state: NodeState, at: number): void {
  state.routing.policy = new RoundRobinPolicy(at * START_OFFSET);
  state.admission.options = FIFO;
}

function leastOutstanding(state: NodeState, at: number): void {
  state.routing.policy = new LeastOutstandingPolicy(at * START_OFFSET);
  state.admission.options = FIFO;
}

function withoutMechanism(name: keyof SchedulingOptions): LoadVariant {
  return {
    name: `ours without ${name}`,
    prepare: state => {
      state.admission.options = {...DEFAULT_SCHEDULING, [name]: false};
    },
  };
}

const MECHANISMS = Object.keys(
  DEFAULT_SCHEDULING,
) as (keyof SchedulingOptions)[];

/** The system, the two baselines, then the system with each mechanism switched off. */
export const LOAD_VARIANTS: readonly LoadVariant[] = [
  {name: 'ours', prepare: () => {}},
  {name: 'round robin, FIFO', prepare: roundRobin},
  {name: 'least outstanding, FIFO', prepare: leastOutstanding},
  ...MECHANISMS.map(withoutMechanism),
];
