import type {AttemptId, TargetId} from '../ids/index.js';

/** An own attempt that ended lately, for the correction of lagged reports. */
interface EndedAttempt {
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** What this node knows of one target's load, speed and failures. */
export interface TargetLoad {
  readonly targetId: TargetId;
  /** Own attempts in flight, by the time of their start. */
  readonly own: Map<AttemptId, number>;
  readonly ended: EndedAttempt[];
  /** Work of others in the latest report. */
  othersAtReport: number;
  /** Time of a token of one stream, averaged; undefined until measured. */
  msPerToken?: number;
  /** Failures since the last success. */
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  /** Start of its slow start. */
  returnedAtMs: number;
}
