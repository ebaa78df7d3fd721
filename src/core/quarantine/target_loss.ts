import type {Fingerprint, TargetId, VmId} from '../ids/index.js';

/** One loss of a target, sure or likely, and what was in flight on it. */
export interface TargetLoss {
  readonly targetId: TargetId;
  readonly bootId: string;
  readonly atMs: number;
  isConfirmed: boolean;
  /** This node had reports of the lost boot: their sequel, or its lack, decides. */
  readonly isJudged: boolean;
  /** VMs that have not reported since, with the boot that was lost. */
  readonly awaited: Map<VmId, string>;
  readonly fingerprints: Set<Fingerprint>;
}
