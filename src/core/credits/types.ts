export type {CreditsState} from './credits_state.js';
export type {GroupKey} from './group_key.js';
