import type {Fingerprint, TargetId} from '../ids/index.js';

/** Fingerprints that were in flight on lost targets. */
interface Suspects {
  readonly type: 'quarantine.suspects';
  readonly suspects: readonly {
    readonly fingerprint: Fingerprint;
    readonly lostTargets: readonly TargetId[];
    readonly remainingMs: number;
  }[];
  /** Fingerprints that ran to their end since. */
  readonly cleared: readonly Fingerprint[];
}

/** Messages of the quarantine area. */
export type QuarantineMessage = Suspects;
