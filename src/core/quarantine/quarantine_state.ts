import type {Fingerprint, TargetId, VmId} from '../ids/index.js';
import type {Suspect} from './suspect.js';
import type {TargetLoss} from './target_loss.js';

/** Fingerprints that were in flight on lost targets. */
export interface QuarantineState {
  /** In order of their last change, oldest first. */
  readonly suspects: Map<Fingerprint, Suspect>;
  /** Recorded losses, by target and boot ID. */
  readonly losses: Map<string, TargetLoss>;
  /** Likely losses that a report of the VM may confirm or disprove. */
  readonly lossesByAwaitedVm: Map<VmId, Set<TargetLoss>>;
  /** Reservations of the targets that this node arbitrates, each for one suspect. */
  readonly trials: Map<
    TargetId,
    {readonly fingerprint: Fingerprint; readonly untilMs: number}
  >;
  /** Changes that have not been sent to peers yet. */
  readonly outbox: {
    readonly suspects: Set<Fingerprint>;
    readonly cleared: Set<Fingerprint>;
  };
  sweptAtMs: number;
}
