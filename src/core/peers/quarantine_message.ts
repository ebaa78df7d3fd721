import type {Fingerprint, TargetId} from '../ids/index.js';

/** Fingerprints that were in flight on lost targets. */
interface Suspects {
  readonly type: 'quarantine.suspects';
  readonly suspects: readonly {
    readonly fingerprint: Fingerprint;
    readonly losses: readonly {
      readonly targetId: TargetId;
      /** Distinguishes several losses of one target. */
      readonly bootId: string;
      readonly isConfirmed: boolean;
    }[];
    readonly remainingMs: number;
  }[];
  /** Fingerprints whose requests have since completed. */
  readonly cleared: readonly Fingerprint[];
}

/** Requests permission from the target's arbiter to run a suspect there in isolation. */
interface Ask {
  readonly type: 'quarantine.ask';
  readonly fingerprint: Fingerprint;
  readonly targetId: TargetId;
}

interface Answer {
  readonly type: 'quarantine.answer';
  readonly isGranted: boolean;
}

/** Messages about requests suspected of crashing engines. */
export type QuarantineMessage = Suspects | Ask | Answer;
