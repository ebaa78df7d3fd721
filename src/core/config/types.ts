export type {ConfigChange} from './config_change.js';
export type {ConfigDocument} from './config_document.js';
export type {ConfigPublication} from './config_publication.js';
export type {ConfigState} from './config_state.js';
export type {OrganisationConfig} from './organisation_config.js';
export type {ServiceConfig} from './service_config.js';
export type {ConfigConflict} from './config_conflict.js';
