import type {OrganisationId} from '../ids/index.js';

/** Use of limits at this node. */
export interface LimitsState {
  readonly inFlight: Map<OrganisationId, number>;
}
