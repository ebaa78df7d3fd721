export type {OnceClaim} from './once_claim.js';
export type {OnceEntry} from './once_entry.js';
export type {OnceState} from './once_state.js';
