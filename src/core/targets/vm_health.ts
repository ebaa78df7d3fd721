import type {VmRecord} from '../store/types.js';

/** What this node has seen of a VM over time. */
export interface VmHealth {
  /** Last record in the list, kept after the VM left it. */
  record: VmRecord;
  /** Since when the list lacks the VM. */
  absentSinceMs?: number;
  /** A report must be true after this time to count. */
  distrustedUntilMs: number;
  /** Since when there has been no fresh report; undefined while there is one. */
  staleSinceMs?: number;
  /** Since when reports have been fresh without a break. */
  steadySinceMs: number;
  /** Only a document read after this time is trusted; set after a long silence. */
  rereadAfterMs: number;
  /** Times the VM was lost; forgotten after a long steady time. */
  losses: number;
  lastLossAtMs: number;
  /** Whether the present silence was counted as a loss. */
  isLost: boolean;
}
