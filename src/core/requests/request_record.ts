import type {AttemptId, TargetId} from '../ids/index.js';
import type {Verdict} from '../verdict/index.js';
import type {RequestInfo} from './request_info.js';

interface Attempt {
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
  /** Boot of the target's leader when the attempt began. */
  readonly bootId: string;
  readonly startedAtMs: number;
  firstTokenAtMs?: number;
  /** Tokens delivered to the caller by this attempt. */
  tokens: number;
}

/** A live request at this node. */
export interface RequestRecord {
  readonly info: RequestInfo;
  phase: 'claiming' | 'queued' | 'running';
  attempt?: Attempt;
  /** Joined verdict of the attempts that ended. */
  verdict: Verdict;
  /** Targets that failed this request. */
  readonly failedTargets: Set<TargetId>;
  attempts: number;
  pauses: number;
  /** Tokens delivered to the caller by all attempts. */
  deliveredTokens: number;
  /** First time this request entered the queue, and the last. */
  queuedAtMs: number;
  requeuedAtMs: number;
  /** The caller has its final answer, or left; the run goes on to be recorded. */
  detached?: boolean;
  /** Where the deadline wheel keeps this request. */
  deadlineBucket?: number;
}
