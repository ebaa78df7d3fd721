import type {ERROR_CATALOGUE} from './error_catalogue.js';

/** Name of an entry in the error catalogue. */
export type ErrorName = keyof typeof ERROR_CATALOGUE;
