export type {ErrorEntry} from './error_entry.js';
export type {ErrorName} from './error_name.js';
export type {ErrorBody} from './error_body.js';
export type {Refusal} from './refusal.js';
