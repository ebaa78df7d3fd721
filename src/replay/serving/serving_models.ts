import type {ModelName} from '../../core/ids/index.js';
import {makeId} from '../../core/ids/index.js';

/** Models of the simulated service: replicas of `large` have six engines, replicas of `small` have three. */
export const SERVING_MODELS = {
  large: makeId<ModelName>('large'),
  small: makeId<ModelName>('small'),
} as const;
