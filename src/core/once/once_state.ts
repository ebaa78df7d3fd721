import type {OnceKey} from '../ids/index.js';

/** Claims that this node holds or asks for. */
export interface OnceState {
  readonly claims: Map<OnceKey, unknown>;
}
