import type {Fingerprint, TargetId, VmId} from '../ids/index.js';

/** Loss of one boot of a target, confirmed or likely, with the requests in flight on it. */
export interface TargetLoss {
  readonly targetId: TargetId;
  readonly bootId: string;
  readonly atMs: number;
  isConfirmed: boolean;
  /** This node had reports of the lost boot, so later reports, or their absence, decide the loss here. */
  readonly isDecidedByReports: boolean;
  /** VMs that have not reported since the loss, with their boot IDs before it. */
  readonly awaitedBootIds: Map<VmId, string>;
  /** Fingerprints of the requests in flight on the target. */
  readonly fingerprints: Set<Fingerprint>;
}
