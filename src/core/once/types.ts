export type {OnceState} from './once_state.js';
