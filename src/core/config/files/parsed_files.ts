import type {OrganisationConfig} from '../organisation_config.js';
import type {ServiceConfig} from '../service_config.js';

interface ParsedService {
  readonly path: string;
  readonly text: string;
  readonly service: ServiceConfig;
}

interface ParsedOrganisations {
  readonly path: string;
  readonly text: string;
  readonly organisations: readonly OrganisationConfig[];
}

/** The valid files of one publication, checked separately and against each other. */
export interface ParsedFiles {
  readonly services: readonly ParsedService[];
  /** Absent when the publication does not change the organisations. */
  readonly organisations?: ParsedOrganisations;
}
