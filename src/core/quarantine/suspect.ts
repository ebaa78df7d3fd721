import type {Fingerprint, OperationId, TargetId} from '../ids/index.js';
import type {TargetLoss} from './target_loss.js';

/** A request, identified by its fingerprint, that was in flight on lost targets. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /** Losses by target and boot ID. */
  readonly losses: Map<string, TargetLoss>;
  /** When the suspect is dropped. */
  untilMs: number;
  quarantinedUntilMs?: number;
  /** Running attempts of the request at this node. */
  runs: number;
  /** Grant to run on one target, which no other suspect uses. */
  grant?: {readonly targetId: TargetId; readonly untilMs: number};
  /** Pending request for such a grant. */
  ask?: {readonly callId: OperationId; readonly targetId: TargetId};
  /** Targets reserved for another suspect, with the time until which no grant is requested. */
  readonly denied: Map<TargetId, number>;
}
