import type {TargetId} from '../ids/index.js';

/** Credits that a broker lent to this node for one group of targets. */
export interface CreditGroup {
  /** Number of requests that this node may have in flight, by target; 0 for absent targets. */
  limits: ReadonlyMap<TargetId, number>;
  /** Until when the credits are valid; afterwards engine reports alone limit dispatch. */
  freshUntilMs: number;
  /** Number of dispatches since the last demand was sent. */
  started: number;
  nextDemandAtMs: number;
}
