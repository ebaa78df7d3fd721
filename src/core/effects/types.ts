export type {Effect} from './effect.js';
export type {EffectOf} from './effect_of.js';
