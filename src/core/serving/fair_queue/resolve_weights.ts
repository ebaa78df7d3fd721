import type {OrganisationId} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Returns the weights of the organisations; undefined where the configuration has fewer than two, which disables the mechanism. */
export function resolveWeights({
  config,
  fairQueue,
}: ServingState): ReadonlyMap<OrganisationId, number> | undefined {
  if (fairQueue.config === config) return fairQueue.weights;
  const weights = new Map<OrganisationId, number>();
  for (const one of config?.organisationsByKey?.values() ?? []) {
    weights.set(one.organisationId, one.weight ?? 1);
  }
  fairQueue.config = config;
  fairQueue.weights = weights.size >= 2 ? weights : undefined;
  return fairQueue.weights;
}
