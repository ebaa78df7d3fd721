import type {ErrorBody} from '../core/errors/types.js';

/** Why an operator's request returned no data. */
export type OperatorFailure =
  | {
      readonly kind: 'unreachable';
      readonly address: string;
      readonly cause: string;
    }
  | {
      readonly kind: 'protocol';
      readonly address: string;
      readonly status: number;
    }
  | {
      readonly kind: 'refused';
      readonly address: string;
      readonly error: ErrorBody;
      readonly details?: unknown;
    };
