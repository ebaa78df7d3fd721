import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Whether this node's own path to the engines of a service is down. */
export function isPathDown(
  {reachability}: ServingState,
  service: ServiceName,
): boolean {
  return reachability.paths.get(service)?.downSinceMs !== undefined;
}
