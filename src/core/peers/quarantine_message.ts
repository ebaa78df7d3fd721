import type {Fingerprint, TargetId} from '../ids/index.js';

/** Fingerprints that were in flight on lost targets. */
interface Suspects {
  readonly type: 'quarantine.suspects';
  readonly suspects: readonly {
    readonly fingerprint: Fingerprint;
    readonly losses: readonly {
      readonly targetId: TargetId;
      /** Tells two losses of one target apart. */
      readonly bootId: string;
      readonly isConfirmed: boolean;
    }[];
    readonly remainingMs: number;
  }[];
  /** Fingerprints that ran to their end since. */
  readonly cleared: readonly Fingerprint[];
}

/** Asks the target's arbiter for leave to run a suspect there, apart from all others. */
interface Ask {
  readonly type: 'quarantine.ask';
  readonly fingerprint: Fingerprint;
  readonly targetId: TargetId;
}

interface Answer {
  readonly type: 'quarantine.answer';
  readonly isGranted: boolean;
}

/** Messages of the quarantine area. */
export type QuarantineMessage = Suspects | Ask | Answer;
