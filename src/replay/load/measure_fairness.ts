import type {LoadFleet} from './load_fleet.js';
import type {RequestOutcome} from './request_outcome.js';
import {isInDeadline} from './is_in_deadline.js';

interface Share {
  readonly weight: number;
  sent: number;
  answered: number;
}

/**
 * Computes Jain's index over organisations of the responses within the deadline
 * relative to the weighted max-min fair share of all such responses.
 */
export function measureFairness(
  fleet: LoadFleet,
  outcomes: readonly RequestOutcome[],
): number {
  const shares = new Map<string, Share>();
  for (const {name, weight} of fleet.organisations) {
    shares.set(name, {weight, sent: 0, answered: 0});
  }
  for (const outcome of outcomes) {
    const share = shares.get(outcome.request.client.split('/')[0]!)!;
    share.sent += 1;
    if (isInDeadline(outcome)) share.answered += 1;
  }
  const active = [...shares.values()].filter(share => share.sent > 0);
  const level = findLevel(active);
  const ratios = active.map(
    share => share.answered / Math.min(share.sent, level * share.weight),
  );
  const total = ratios.reduce((sum, ratio) => sum + ratio, 0);
  const squares = ratios.reduce((sum, ratio) => sum + ratio * ratio, 0);
  return (total * total) / (ratios.length * squares);
}

/** Returns the responses per unit of weight at which the fair shares add up to all responses. */
function findLevel(shares: readonly Share[]): number {
  let remaining = shares.reduce((sum, share) => sum + share.answered, 0);
  let weights = shares.reduce((sum, share) => sum + share.weight, 0);
  const byDemand = [...shares].sort(
    (a, b) => a.sent / a.weight - b.sent / b.weight,
  );
  for (const {sent, weight} of byDemand) {
    if (sent / weight >= remaining / weights) break;
    remaining -= sent;
    weights -= weight;
  }
  return weights > 0 ? remaining / weights : Infinity;
}
