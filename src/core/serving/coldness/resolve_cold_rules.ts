import type {ColdRules} from './types.js';
import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Shares into which the bound is divided: two owners, and two more whose view of the registry differs. */
const BOUND_SHARES = 4;

/** Returns the limits on requests to cold engines of a service; undefined if the service or the settings name none. */
export function resolveColdRules(
  {config, bounds}: ServingState,
  service: ServiceName,
): ColdRules | undefined {
  const {coldMs, coldRequestsPerS} = config?.services.get(service) ?? {};
  const {coldOvershoot, coldTolerance} = bounds;
  if (!coldMs || !coldRequestsPerS) return undefined;
  if (coldOvershoot === undefined || coldTolerance === undefined) {
    return undefined;
  }
  const boundPerS = coldRequestsPerS * coldOvershoot + coldTolerance;
  return {coldMs, quota: Math.floor(boundPerS / BOUND_SHARES)};
}
