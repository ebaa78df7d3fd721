import type {NodeId, TargetId} from '../ids/index.js';

/** Credits that a broker lent to one node, and the work that the node reported. */
interface Holder {
  /** Credits lent, by target. */
  limits: ReadonlyMap<TargetId, number>;
  /** Work in flight as the node last reported it, by target. */
  own: ReadonlyMap<TargetId, number>;
  /** Demand of the node; its share of the idle slots is in proportion to it. */
  weight: number;
  heardAtMs: number;
}

/** A broker's account of one group of targets. */
export interface CreditBook {
  readonly openedAtMs: number;
  readonly holders: Map<NodeId, Holder>;
  /** Work on a target beyond what holders reported, at each of the latest engine reports. */
  readonly excess: Map<TargetId, number[]>;
  /** Targets of the group when they were last listed. */
  targets: readonly TargetId[];
  /** Number of targets of the service at that time. */
  serviceSize: number;
  listedAtMs: number;
}
