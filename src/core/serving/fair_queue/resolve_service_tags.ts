import type {OrganisationId} from '../../ids/index.js';
import type {RequestRecord, ServingState} from '../types.js';
import {measureService} from './measure_service.js';
import {workTokens} from './work_tokens.js';

/**
 * Returns the service, relative to weight, that the organisation of each waiting
 * request will have had when those of its requests that precede it have been
 * admitted. `waiting` is ordered by urgency. A request's own size is not part of
 * its tag, so a large prompt is not put behind small ones.
 */
export function resolveServiceTags(
  state: ServingState,
  waiting: readonly RequestRecord[],
  nowMs: number,
): Map<RequestRecord, number> {
  const {weights} = state.fairQueue;
  const services = new Map<OrganisationId | undefined, number>();
  const tags = new Map<RequestRecord, number>();
  for (const record of waiting) {
    const {organisationId: id, pool} = record;
    const tag = services.get(id) ?? measureService(state, pool, id, nowMs);
    const weight = (id !== undefined && weights?.get(id)) || 1;
    tags.set(record, tag);
    services.set(id, tag + workTokens(record) / weight);
  }
  return tags;
}
