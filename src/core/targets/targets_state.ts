import type {EngineReport} from './engine_report.js';
import type {OperationId, ServiceName, TargetId, VmId} from '../ids/index.js';
import type {Target} from './target.js';
import type {VmHealth} from './vm_health.js';
import type {VmRecord} from '../store/types.js';

/** A report with the time at which it was true. */
interface SeenReport {
  readonly report: EngineReport;
  readonly trueAtMs: number;
}

/** Reading of the VM list. */
interface VmListState {
  /** The call under way. */
  operationId?: OperationId;
  nextAtMs: number;
  /** Time of the last list that was read; 0 before the first. */
  readAtMs: number;
  /** Since when lists lack many VMs that report. */
  shrunkSinceMs?: number;
}

/** VMs, their reports, and the targets that follow from them. */
export interface TargetsState {
  readonly vms: Map<VmId, VmRecord>;
  readonly reports: Map<VmId, SeenReport>;
  readonly byId: Map<TargetId, Target>;
  readonly byService: Map<ServiceName, Set<TargetId>>;
  /** VMs seen so far, departed ones included for a while. */
  readonly health: Map<VmId, VmHealth>;
  readonly targetByVm: Map<VmId, TargetId>;
  /** The VM that answers requests for a target. */
  readonly leaders: Map<TargetId, VmId>;
  /** When a target's own answer said that it leaves. */
  readonly toldLeavingAtMs: Map<TargetId, number>;
  /** Targets whose streams were moved because a VM was lost. */
  readonly broken: Set<TargetId>;
  readonly list: VmListState;
  /** Latest time after which some target needs its document read again. */
  rereadAfterMs: number;
  sweptAtMs: number;
  /** Key of the last `setPolls` effect. */
  pollKey: string;
}
