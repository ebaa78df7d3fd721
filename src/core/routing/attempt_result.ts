import type {AttemptFailure} from '../requests/types.js';

/** How an attempt ended, for the accounts of routing and admission. */
export type AttemptResult =
  | {readonly kind: 'ended'; readonly tokens: number}
  | {
      readonly kind: 'failed';
      readonly tokens: number;
      readonly failure: AttemptFailure;
    }
  | {readonly kind: 'cancelled'; readonly tokens: number};
