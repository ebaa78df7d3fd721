import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Lists the services whose engines this node can't reach. */
export function listUnreachableServices({
  reachability,
}: ServingState): ServiceName[] {
  return [...reachability.paths]
    .filter(([, {downSinceMs}]) => downSinceMs !== undefined)
    .map(([service]) => service);
}
