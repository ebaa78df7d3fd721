import type {AttemptId, TargetId} from '../ids/index.js';

/** A recently ended attempt of this node, kept to correct reports that lag behind. */
interface EndedAttempt {
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** This node's view of one target's load, speed and failures. */
export interface TargetLoad {
  readonly targetId: TargetId;
  /** This node's attempts in flight, with their start times. */
  readonly own: Map<AttemptId, number>;
  readonly ended: EndedAttempt[];
  /** Load of other nodes by the latest report, in requests. */
  reportedOtherLoad: number;
  /** Moving average of the time per token of one stream; undefined until measured. */
  msPerToken?: number;
  /** Consecutive failures since the last success or ejection. */
  failures: number;
  /** Ejections since the last success; each doubles the time of the next. */
  ejections: number;
  ejectedUntilMs: number;
  /** When its slow start begins; 0 when it was never ejected. */
  returnedAtMs: number;
}
