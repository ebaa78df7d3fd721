import type {ModelName} from '../../core/ids/index.js';
import {makeId} from '../../core/ids/index.js';

/** Models of the virtual service: one of six engines and one of three. */
export const SERVING_MODELS = {
  large: makeId<ModelName>('large'),
  small: makeId<ModelName>('small'),
} as const;
