export {createRandom} from './create_random.js';
export type {Random} from './random.js';
