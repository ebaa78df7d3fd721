import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Counts the listed engines of a service. */
export function countEngines(
  {engines}: ServingState,
  service: ServiceName,
): number {
  let engineCount = 0;
  for (const engine of engines.values()) {
    if (engine.service === service) engineCount += 1;
  }
  return engineCount;
}
