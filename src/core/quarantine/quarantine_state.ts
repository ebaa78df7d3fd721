import type {Fingerprint} from '../ids/index.js';

/** Fingerprints that were in flight on lost targets. */
export interface QuarantineState {
  readonly suspects: Map<Fingerprint, unknown>;
}
