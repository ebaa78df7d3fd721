import type {NodeId, TargetId} from '../ids/index.js';

/** What a broker lent to one node. */
interface Holder {
  limits: ReadonlyMap<TargetId, number>;
  own: ReadonlyMap<TargetId, number>;
  /** Share of idle slots that the node gets, by its demand. */
  weight: number;
  heardAtMs: number;
}

/** A broker's account of one group of targets. */
export interface CreditBook {
  readonly openedAtMs: number;
  readonly holders: Map<NodeId, Holder>;
  /** Latest counts of work beyond what holders said, by target. */
  readonly excess: Map<TargetId, number[]>;
  /** Targets of the group, and the size of the service when they were listed. */
  targets: readonly TargetId[];
  serviceSize: number;
  listedAtMs: number;
}
