import type {Refusal} from '../errors/index.js';

/** Answer to an operator: JSON data, or a refusal. */
export type OperatorAnswer =
  | {readonly kind: 'ok'; readonly data: unknown}
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      readonly details?: unknown;
    };
