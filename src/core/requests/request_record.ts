import type {AttemptId, TargetId} from '../ids/index.js';
import type {Verdict} from '../verdict/index.js';
import type {RequestInfo} from './request_info.js';

interface Attempt {
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
  /** Boot ID of the target's leader when the attempt started. */
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
  /** Worst verdict of the attempts that ended. */
  verdict: Verdict;
  /** Targets that failed this request. */
  readonly failedTargets: Set<TargetId>;
  /** Attempts started so far. */
  attempts: number;
  /** Times that the request was paused in favour of short requests. */
  pauseCount: number;
  /** Tokens delivered to the caller by all attempts. */
  deliveredTokens: number;
  /** When this request first entered the queue. */
  queuedAtMs: number;
  /** When it last entered the queue. */
  requeuedAtMs: number;
  /** The caller has its final answer or disconnected; the run continues only to record its outcome. */
  isDetached?: boolean;
  /** Bucket of the deadline wheel that holds this request; undefined when it is not in the wheel. */
  deadlineBucket?: number;
}
