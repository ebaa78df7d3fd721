import type {ZoneId} from '../ids/index.js';

/** A node address that callers may use. */
export interface Entry {
  /** `host:port`. */
  readonly address: string;
  readonly zone: ZoneId;
}
