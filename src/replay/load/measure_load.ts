import type {LoadFleet} from './load_fleet.js';
import type {LoadMeasures} from './load_measures.js';
import {isInDeadline} from './is_in_deadline.js';
import {measureFairness} from './measure_fairness.js';
import type {RequestOutcome} from './request_outcome.js';

/** Callers of long work allow it so long; it counts as long. */
const LONG_DEADLINE_MS = 60_000;
const RECOVERY_MS = 3000;
const ROUND = 1000;

/** Measures a run: waits and shares at the crest, and what became of long work. */
export function measureLoad(
  fleet: LoadFleet,
  outcomes: readonly RequestOutcome[],
): LoadMeasures {
  const {crestFromMs, crestUntilMs} = fleet;
  const models = outcomes.filter(({request}) => request.service === 'chat');
  const short = models.filter(one => !isLong(one));
  const long = models.filter(isLong);
  const crest = short.filter(
    ({request: {atMs}}) => atMs >= crestFromMs && atMs < crestUntilMs,
  );
  const after = short.filter(
    ({request: {atMs}}) => atMs >= crestUntilMs + RECOVERY_MS,
  );
  const waits = crest.map(waitOf);
  const longTimes = long.map(timeOf);
  const sends = sum(outcomes.map(one => one.sends + retriesOf(one) - 1));
  return {
    shortWaitP50Ms: round(quantile(waits, 0.5)),
    shortWaitP95Ms: round(quantile(waits, 0.95)),
    shortWaitP99Ms: round(quantile(waits, 0.99)),
    shortTimeP99Ms: round(quantile(short.map(timeOf), 0.99)),
    shortInDeadline: round(share(crest, isInDeadline)),
    allInDeadline: round(share(outcomes, isInDeadline)),
    longMeanMs: round(sum(longTimes) / Math.max(1, longTimes.length)),
    longP95Ms: round(quantile(longTimes, 0.95)),
    fairness: round(measureFairness(fleet, crest)),
    retriesPerRequest: round(sends / Math.max(1, outcomes.length)),
    refusals: sum(outcomes.map(one => one.refusals)),
    afterWaitP95Ms: round(quantile(after.map(waitOf), 0.95)),
  };
}

function isLong({request}: RequestOutcome): boolean {
  return request.deadlineMs >= LONG_DEADLINE_MS;
}

/** A request that never ran waited for the whole of its deadline. */
function waitOf({request, startedAtMs}: RequestOutcome): number {
  if (startedAtMs === undefined) return request.deadlineMs;
  return startedAtMs - request.atMs;
}

function timeOf({request, endedAtMs}: RequestOutcome): number {
  if (endedAtMs === undefined) return request.deadlineMs;
  return endedAtMs - request.atMs;
}

function retriesOf({attempts, pauses}: RequestOutcome): number {
  return Math.max(0, attempts - 1 - pauses);
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
  return Math.round(value * ROUND) / ROUND;
}
