import type {AttemptFailure} from '../requests/types.js';

/** Outcome of an attempt, as routing and admission account for it. */
export type AttemptResult =
  | {readonly kind: 'ended'; readonly tokens: number}
  | {
      readonly kind: 'failed';
      readonly tokens: number;
      readonly failure: AttemptFailure;
    }
  | {readonly kind: 'cancelled'; readonly tokens: number};
