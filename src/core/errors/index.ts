export {ERROR_CATALOGUE} from './error_catalogue.js';
export {createRefusal} from './create_refusal.js';
export type * from './types.js';
