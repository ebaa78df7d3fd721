import type {VmRecord} from '../store/types.js';

/** This node's observations of a VM over time. */
export interface VmHealth {
  /** Latest record from the VM list; kept after the list lacks the VM. */
  record: VmRecord;
  /** Time since which the list lacks the VM; undefined while it is listed. */
  absentSinceMs?: number;
  /** Reports made at or before this time are ignored. */
  reportsIgnoredUntilMs: number;
  /** Time since which there is no fresh report; undefined while there is one. */
  staleSinceMs?: number;
  /** Time since which reports have been fresh without interruption; -Infinity before the first one. */
  freshSinceMs: number;
  /** Replica documents read at or before this time are not trusted; set when a long silence ends. */
  minDocumentReadAtMs: number;
  /** Number of losses; starts again at one if the last loss is long ago. */
  losses: number;
  lastLossAtMs: number;
  /** Whether the current silence has been counted as a loss. */
  isLost: boolean;
}
