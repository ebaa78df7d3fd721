import type {EngineReport} from '../targets/types.js';
import type {OrderId, VmId} from '../ids/index.js';

/** A report, polled by this node or forwarded by an observer. */
interface TargetReported {
  readonly type: 'targetReported';
  readonly report: EngineReport;
  /** Age of the report when this node received it, in milliseconds. */
  readonly ageMs: number;
}

interface TargetReportFailed {
  readonly type: 'targetReportFailed';
  readonly vmId: VmId;
  /** The engine's port refused or reset the connection, so no process is listening. */
  readonly refused?: boolean;
}

/** Prefix-cache changes of one engine; a `fromSequence` past the last received one is a gap. */
interface TargetCacheChanged {
  readonly type: 'targetCacheChanged';
  readonly vmId: VmId;
  readonly bootId: string;
  readonly fromSequence: number;
  readonly toSequence: number;
  /** True when `stored` is the whole content and not a change. */
  readonly whole: boolean;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

interface OrderResult {
  readonly type: 'orderResult';
  readonly orderId: OrderId;
  /** `unknown`: the order may still be executed. */
  readonly outcome: 'done' | 'refused' | 'fenced' | 'unknown' | 'unreachable';
}

/** What targets report. */
export type TargetEvent =
  TargetReported | TargetReportFailed | TargetCacheChanged | OrderResult;
