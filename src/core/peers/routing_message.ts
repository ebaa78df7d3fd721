import type {TargetId} from '../ids/index.js';
import type {EngineReport} from '../targets/types.js';

/** Reports that an observer passes on. */
interface Reports {
  readonly type: 'routing.reports';
  readonly reports: readonly {
    readonly report: EngineReport;
    readonly ageMs: number;
  }[];
}

/** A node's work on a group of targets; asks the group's broker for credits. */
interface Demand {
  readonly type: 'routing.demand';
  readonly group: string;
  readonly queued: number;
  /** Dispatches to the group since the last demand. */
  readonly started: number;
  /** Own work in flight, by target. */
  readonly own: readonly (readonly [TargetId, number])[];
}

/** A broker's answer; without limits it does not know enough to lend. */
interface Credits {
  readonly type: 'routing.credits';
  readonly group: string;
  /** Work that the node may have in flight, by target; absent is none. */
  readonly limits?: readonly (readonly [TargetId, number])[];
}

/** Messages of the routing area. */
export type RoutingMessage = Reports | Demand | Credits;
