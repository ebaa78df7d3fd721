export type {QuarantineState} from './quarantine_state.js';
