import type {ServiceName} from '../../ids/index.js';
import type {ServicePath} from './types.js';
import type {ServingState} from '../types.js';

/** Returns this node's path to a service, and creates the record if there is none. */
export function resolvePath(
  {reachability}: ServingState,
  service: ServiceName,
): ServicePath {
  let path = reachability.paths.get(service);
  if (!path) {
    path = {
      unreachable: new Set(),
      progressAtMs: -Infinity,
      probes: new Map(),
      failedProbeCount: 0,
      probedAtMs: -Infinity,
      pendingLosses: new Map(),
    };
    reachability.paths.set(service, path);
  }
  return path;
}
