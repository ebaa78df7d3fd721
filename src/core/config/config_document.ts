import type {OrganisationConfig} from './organisation_config.js';
import type {ServiceConfig} from './service_config.js';

/** The configuration at one revision. Revision 0 means that none was accepted yet. */
export interface ConfigDocument {
  readonly revision: number;
  readonly services: ReadonlyMap<string, ServiceConfig>;
  readonly organisations: ReadonlyMap<string, OrganisationConfig>;
}
