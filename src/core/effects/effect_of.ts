import type {Effect} from './effect.js';

/** The effect with the given `type`. */
export type EffectOf<T extends Effect['type']> = Extract<Effect, {type: T}>;
