export type {LimitsState} from './limits_state.js';
