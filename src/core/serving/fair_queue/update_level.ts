import type {OrganisationId} from '../../ids/index.js';
import type {RequestRecord, ServingStep} from '../types.js';
import {logDecision} from '../log_decision.js';
import {measureService} from './measure_service.js';
import {resolvePoolWork} from './resolve_pool_work.js';

/** Minimum time between two log lines of a pool, since the order of organisations with equal service changes often. */
const LOG_INTERVAL_MS = 5000;
/** An organisation is logged as over-served above this multiple of the average. */
const LOG_FACTOR = 2;

/** Computes the average service of the organisations that use a pool or wait for it, and logs a change of the most over-served one. */
export function updateLevel(
  step: ServingStep,
  pool: string,
  waiting: readonly RequestRecord[],
): void {
  const {state, nowMs} = step;
  const work = resolvePoolWork(state.fairQueue, pool, nowMs);
  const active = new Set<OrganisationId>([
    ...work.own.keys(),
    ...work.peers.keys(),
  ]);
  for (const {organisationId} of waiting) {
    if (organisationId !== undefined) active.add(organisationId);
  }
  let tokens = 0;
  let weightSum = 0;
  let most: OrganisationId | undefined;
  let mostService = 0;
  for (const id of active) {
    const service = measureService(state, pool, id, nowMs);
    const weight = state.fairQueue.weights?.get(id) ?? 1;
    tokens += service * weight;
    weightSum += weight;
    if (service <= mostService) continue;
    mostService = service;
    most = id;
  }
  // An organisation that has the pool to itself takes nothing from others.
  work.levelTokens = active.size > 1 ? tokens / weightSum : Infinity;
  if (mostService < LOG_FACTOR * work.levelTokens) most = undefined;
  if (most === work.overServed) return;
  if (nowMs - work.overServedLoggedAtMs < LOG_INTERVAL_MS) return;
  work.overServed = most;
  work.overServedLoggedAtMs = nowMs;
  logDecision(step, 'info', 'requests', 'most over-served organisation', {
    pool,
    organisation: most ?? 'none',
    tokens: Math.round(mostService),
    averageTokens: Math.round(work.levelTokens),
    organisations: active.size,
    waiting: waiting.length,
  });
}
