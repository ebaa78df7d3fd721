import type {LoadFleet} from './load_fleet.js';
import type {LoadMeasures} from './load_measures.js';
import {isInDeadline} from './is_in_deadline.js';
import {measureFairness} from './measure_fairness.js';
import type {RequestOutcome} from './request_outcome.js';

/** Requests with at least this deadline count as long. */
const LONG_DEADLINE_MS = 60_000;
const RECOVERY_MS = 3000;
const ROUNDING = 1000;

/**
 * Measures a run: waits, deadlines and fairness in the load peak, long
 * requests, and recovery after the peak.
 */
export function measureLoad(
  fleet: LoadFleet,
  outcomes: readonly RequestOutcome[],
): LoadMeasures {
  const {crestFromMs, crestUntilMs} = fleet;
  const models = outcomes.filter(({request}) => request.service === 'chat');
  const short = models.filter(one => !isLong(one));
  const long = models.filter(isLong);
  const peak = short.filter(
    ({request: {atMs}}) => atMs >= crestFromMs && atMs < crestUntilMs,
  );
  const after = short.filter(
    ({request: {atMs}}) => atMs >= crestUntilMs + RECOVERY_MS,
  );
  const waits = peak.map(waitMs);
  const longTimes = long.map(durationMs);
  const sends = sum(outcomes.map(one => one.sends + countRetries(one) - 1));
  return {
    shortWaitP50Ms: round(quantile(waits, 0.5)),
    shortWaitP95Ms: round(quantile(waits, 0.95)),
    shortWaitP99Ms: round(quantile(waits, 0.99)),
    shortTimeP99Ms: round(quantile(short.map(durationMs), 0.99)),
    shortInDeadline: round(share(peak, isInDeadline)),
    allInDeadline: round(share(outcomes, isInDeadline)),
    longMeanMs: round(sum(longTimes) / Math.max(1, longTimes.length)),
    longP95Ms: round(quantile(longTimes, 0.95)),
    fairness: round(measureFairness(fleet, peak)),
    retriesPerRequest: round(sends / Math.max(1, outcomes.length)),
    refusals: sum(outcomes.map(one => one.refusals)),
    afterWaitP95Ms: round(quantile(after.map(waitMs), 0.95)),
  };
}

function isLong({request}: RequestOutcome): boolean {
  return request.deadlineMs >= LONG_DEADLINE_MS;
}

/** Wait in milliseconds; a request that never ran counts with its complete deadline. */
function waitMs({request, startedAtMs}: RequestOutcome): number {
  if (startedAtMs === undefined) return request.deadlineMs;
  return startedAtMs - request.atMs;
}

function durationMs({request, endedAtMs}: RequestOutcome): number {
  if (endedAtMs === undefined) return request.deadlineMs;
  return endedAtMs - request.atMs;
}

function countRetries({attempts, cancelledAttempts}: RequestOutcome): number {
  return Math.max(0, attempts - 1 - cancelledAttempts);
}

function quantile(values: readonly number[], at: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(at * (sorted.length - 1))] ?? 0;
}

function share<T>(values: readonly T[], test: (one: T) => boolean): number {
  return values.filter(test).length / Math.max(1, values.length);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
  return Math.round(value * ROUNDING) / ROUNDING;
}
