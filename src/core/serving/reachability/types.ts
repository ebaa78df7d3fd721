import type {ServiceName, VmId} from '../../ids/index.js';

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
}

/** This node's network paths, by service. */
export interface ReachabilityState {
  readonly paths: Map<ServiceName, ServicePath>;
}
