export type {NodeState} from './node_state.js';
export type {SelfState} from './self_state.js';
export type {Step} from './step.js';
