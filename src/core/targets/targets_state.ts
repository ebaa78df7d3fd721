import type {EngineReport} from './engine_report.js';
import type {OperationId, ServiceName, TargetId, VmId} from '../ids/index.js';
import type {Target} from './target.js';
import type {VmHealth} from './vm_health.js';
import type {VmRecord} from '../store/types.js';

/** A report with the time at which the engine made it: its arrival less its age. */
interface ReceivedReport {
  readonly report: EngineReport;
  readonly reportedAtMs: number;
}

/** State of reading the VM list. */
interface VmListState {
  /** Operation of the store call in progress. */
  operationId?: OperationId;
  nextAtMs: number;
  /** Time of the last list that was read; 0 before the first. */
  lastReadAtMs: number;
  /** Time since which lists lack many VMs that still report. */
  shrunkSinceMs?: number;
}

/** Known VMs, their reports, and the targets derived from them. */
export interface TargetsState {
  readonly vms: Map<VmId, VmRecord>;
  readonly reports: Map<VmId, ReceivedReport>;
  readonly byId: Map<TargetId, Target>;
  readonly byService: Map<ServiceName, Set<TargetId>>;
  /** Health of all known VMs; entries of departed VMs are kept for `departedKeepMs`. */
  readonly health: Map<VmId, VmHealth>;
  readonly targetByVm: Map<VmId, TargetId>;
  /** VM that serves the requests of a target. */
  readonly leaders: Map<TargetId, VmId>;
  /** Time at which a target last announced in a response that it is leaving. */
  readonly leavingAnnouncedAtMs: Map<TargetId, number>;
  /** Targets whose streams were moved because a VM was lost or belongs to another replica. */
  readonly broken: Set<TargetId>;
  readonly list: VmListState;
  /** Time after which replica documents must have been read to be trusted; the latest one over all VMs. */
  minDocumentReadAtMs: number;
  lastSweepAtMs: number;
  /** VMs and addresses of the last `setPolls` effect, to detect changes. */
  pollKey: string;
}
