import type {LoadFleet} from './load_fleet.js';
import type {RequestOutcome} from './request_outcome.js';
import {isInDeadline} from './is_in_deadline.js';

interface Share {
  readonly weight: number;
  sent: number;
  answered: number;
}

/**
 * Jain's index over organisations of what each was answered in deadline against
 * its weighted max-min fair part of all that was answered.
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
  const used = [...shares.values()].filter(share => share.sent > 0);
  const level = findLevel(used);
  const ratios = used.map(
    share => share.answered / Math.min(share.sent, level * share.weight),
  );
  const total = ratios.reduce((sum, ratio) => sum + ratio, 0);
  const squares = ratios.reduce((sum, ratio) => sum + ratio * ratio, 0);
  return (total * total) / (ratios.length * squares);
}

/** Answers for each unit of weight at which the fair parts add up to all that was answered. */
function findLevel(shares: readonly Share[]): number {
  let left = shares.reduce((sum, share) => sum + share.answered, 0);
  let weights = shares.reduce((sum, share) => sum + share.weight, 0);
  const rising = [...shares].sort(
    (a, b) => a.sent / a.weight - b.sent / b.weight,
  );
  for (const {sent, weight} of rising) {
    if (sent / weight >= left / weights) break;
    left -= sent;
    weights -= weight;
  }
  return weights > 0 ? left / weights : Infinity;
}
