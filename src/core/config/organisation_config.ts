import type {OrganisationId} from '../ids/index.js';

/** Configuration of one organisation, from the organisations file. */
export interface OrganisationConfig {
  readonly name: OrganisationId;
  /** Lower-case hexadecimal SHA-256 of each accepted bearer token. */
  readonly tokenSha256: readonly string[];
  /** Share in weighted fair queueing. */
  readonly weight: number;
  readonly maxRequestsPerSecond: number;
  readonly maxInFlight: number;
}
