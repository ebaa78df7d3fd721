import type {LoadVariant} from './load_variant.js';
import type {NodeState} from '../../core/state/types.js';
import type {SchedulingOptions} from '../../core/admission/types.js';
import {DEFAULT_SCHEDULING} from '../../core/admission/index.js';
import {LeastOutstandingPolicy, RoundRobinPolicy} from '../policies/index.js';

/** First come, first served: requests go to a target at once and wait in its queue. */
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

/** Nodes begin their turns far from each other. */
const TURN_STEP = 7;

function roundRobin(state: NodeState, at: number): void {
  state.routing.policy = new RoundRobinPolicy(at * TURN_STEP);
  state.admission.options = FIFO;
}

function leastOutstanding(state: NodeState, at: number): void {
  state.routing.policy = new LeastOutstandingPolicy(at * TURN_STEP);
  state.admission.options = FIFO;
}

function without(name: keyof SchedulingOptions): LoadVariant {
  return {
    name: `ours without ${name}`,
    prepare: state => {
      state.admission.options = {...DEFAULT_SCHEDULING, [name]: false};
    },
  };
}

const SWITCHES = Object.keys(DEFAULT_SCHEDULING) as (keyof SchedulingOptions)[];

/** The system first, then the baselines, then the system with each mechanism off. */
export const LOAD_VARIANTS: readonly LoadVariant[] = [
  {name: 'ours', prepare: () => {}},
  {name: 'round robin, FIFO', prepare: roundRobin},
  {name: 'least outstanding, FIFO', prepare: leastOutstanding},
  ...SWITCHES.map(without),
];
