import type {EngineReport} from '../targets/types.js';

/** Reports that an observer passes on. */
interface Reports {
  readonly type: 'routing.reports';
  readonly reports: readonly {
    readonly report: EngineReport;
    readonly ageMs: number;
  }[];
}

/** Messages of the routing area. */
export type RoutingMessage = Reports;
