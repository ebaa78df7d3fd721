import type {TargetId} from '../ids/index.js';

/** Credits that a broker lent to this node for one group of targets. */
export interface CreditGroup {
  /** Work that this node may have in flight, by target; absent is none. */
  limits: ReadonlyMap<TargetId, number>;
  /** Until when the credits hold; afterwards the node goes by reports. */
  freshUntilMs: number;
  /** Dispatches since the last demand. */
  started: number;
  nextDemandAtMs: number;
}
