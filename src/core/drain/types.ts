export type {DrainState} from './drain_state.js';
