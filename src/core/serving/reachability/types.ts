import type {ServiceName, VmId} from '../../ids/index.js';

/** An engine that this node takes for lost, until its own path to the engines is proven. */
export interface PendingLoss {
  /** Identifies the incarnation; undefined if the engine's record is not known. */
  readonly bornAtMs?: number;
  readonly proof: string;
  /** A connection was refused. That shows the end of the process only if other nodes don't reach it either. */
  readonly isRefused: boolean;
  readonly atMs: number;
}

/**
 * What this node knows of its network path to the engines of one service. New
 * connections are the evidence: established ones may outlive the path.
 */
export interface ServicePath {
  /** Engines that did not answer a new connection since the path was last proven. */
  readonly unreachable: Set<VmId>;
  /** Time of the first of these failures; undefined while the path is proven. */
  doubtedSinceMs?: number;
  /** Since when the path counts as down: too many engines are unreachable for each to be at fault. */
  downSinceMs?: number;
  /** Last event or response of any request to the service; -Infinity for none. */
  progressAtMs: number;
  /** Probes in flight that test the path: engine and time of sending. */
  readonly probes: Map<VmId, number>;
  /** Such probes that failed since the path was last proven. */
  failedProbeCount: number;
  /** When the path was last probed; -Infinity if it never was. */
  probedAtMs: number;
  /** Losses that count once the path is proven to have worked at their time. */
  readonly pendingLosses: Map<VmId, PendingLoss>;
}

/** An engine that refused a connection of this node: its process has ended, or only the path between them is cut. */
export interface SuspectedEnd {
  /** Identifies the incarnation. */
  readonly bornAtMs: number;
  readonly proof: string;
  readonly sinceMs: number;
  /** Whether other nodes found the engine unreachable as well. */
  isConfirmed: boolean;
}

/** What this node knows of its network paths and of the engines that refuse its connections. */
export interface ReachabilityState {
  readonly paths: Map<ServiceName, ServicePath>;
  readonly suspectedEnds: Map<VmId, SuspectedEnd>;
}
