import type {OrganisationId} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Organisations from which pools are shared by default: one alone has nobody to share with. */
const DEFAULT_MIN_ORGANISATIONS = 2;

/** Returns the weights of the organisations; undefined where the configuration has fewer than the settings ask for, which disables the mechanism. */
export function resolveWeights({
  config,
  fairQueue,
  bounds,
}: ServingState): ReadonlyMap<OrganisationId, number> | undefined {
  if (fairQueue.config === config) return fairQueue.weights;
  const weights = new Map<OrganisationId, number>();
  for (const one of config?.organisationsByKey?.values() ?? []) {
    weights.set(one.organisationId, one.weight ?? 1);
  }
  const minCount = bounds.minOrganisations ?? DEFAULT_MIN_ORGANISATIONS;
  fairQueue.config = config;
  fairQueue.weights = weights.size >= minCount ? weights : undefined;
  return fairQueue.weights;
}
