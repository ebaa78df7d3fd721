import type {EngineReport} from './engine_report.js';
import type {ServiceName, TargetId, VmId} from '../ids/index.js';
import type {Target} from './target.js';
import type {VmRecord} from '../store/types.js';

/** A report with the time at which it was true. */
interface SeenReport {
  readonly report: EngineReport;
  readonly trueAtMs: number;
}

/** VMs, their reports, and the targets that follow from them. */
export interface TargetsState {
  readonly vms: Map<VmId, VmRecord>;
  readonly reports: Map<VmId, SeenReport>;
  readonly byId: Map<TargetId, Target>;
  readonly byService: Map<ServiceName, Set<TargetId>>;
}
