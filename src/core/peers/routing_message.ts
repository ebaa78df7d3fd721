import type {TargetId} from '../ids/index.js';
import type {EngineReport} from '../targets/types.js';

/** Engine reports that an observer forwards. */
interface Reports {
  readonly type: 'routing.reports';
  readonly reports: readonly {
    readonly report: EngineReport;
    readonly ageMs: number;
  }[];
}

/** A node's work on a group of targets; requests credits from the group's broker. */
interface Demand {
  readonly type: 'routing.demand';
  readonly group: string;
  readonly queued: number;
  /** Number of dispatches to the group since the last demand. */
  readonly started: number;
  /** The node's requests in flight, by target. */
  readonly own: readonly (readonly [TargetId, number])[];
}

/** A broker's response; it has no limits while the broker lacks the data to lend. */
interface Credits {
  readonly type: 'routing.credits';
  readonly group: string;
  /** Number of requests that the node may have in flight, by target; 0 for absent targets. */
  readonly limits?: readonly (readonly [TargetId, number])[];
}

/** Messages about the load of targets. */
export type RoutingMessage = Reports | Demand | Credits;
