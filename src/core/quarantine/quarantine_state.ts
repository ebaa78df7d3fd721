import type {Fingerprint, TargetId, VmId} from '../ids/index.js';
import type {Suspect} from './suspect.js';
import type {TargetLoss} from './target_loss.js';

/** Fingerprints that were in flight on lost targets. */
export interface QuarantineState {
  /** In order of their last change. */
  readonly suspects: Map<Fingerprint, Suspect>;
  /** Losses that are remembered, by target and boot. */
  readonly losses: Map<string, TargetLoss>;
  /** Losses that a report of the VM may confirm or disprove. */
  readonly awaited: Map<VmId, Set<TargetLoss>>;
  /** Suspects that run alone on the targets which this node arbitrates. */
  readonly trials: Map<
    TargetId,
    {readonly fingerprint: Fingerprint; readonly untilMs: number}
  >;
  /** What peers have yet to be told. */
  readonly outbox: {
    readonly suspects: Set<Fingerprint>;
    readonly cleared: Set<Fingerprint>;
  };
  sweptAtMs: number;
}
