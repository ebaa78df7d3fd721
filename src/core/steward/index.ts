export {hasAuthority} from './has_authority.js';
export type * from './types.js';
