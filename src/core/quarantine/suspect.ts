import type {Fingerprint, OperationId, TargetId} from '../ids/index.js';
import type {TargetLoss} from './target_loss.js';

/** A request that was in flight on lost targets, known by its fingerprint. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /** By target and boot. */
  readonly losses: Map<string, TargetLoss>;
  untilMs: number;
  quarantinedUntilMs?: number;
  /** Runs of it at this node now. */
  runs: number;
  /** Leave to run on one target, apart from other suspects. */
  grant?: {readonly targetId: TargetId; readonly untilMs: number};
  /** Question for such leave that is out. */
  ask?: {readonly callId: OperationId; readonly targetId: TargetId};
  /** Targets that another suspect has, and until when not to ask again. */
  readonly denied: Map<TargetId, number>;
}
