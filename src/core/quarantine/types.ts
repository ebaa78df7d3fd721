export type {QuarantineState} from './quarantine_state.js';
export type {Suspect} from './suspect.js';
export type {TargetLoss} from './target_loss.js';
