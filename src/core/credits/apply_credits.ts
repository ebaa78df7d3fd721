import type {GroupKey} from './group_key.js';
import type {RoutingMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {makeId} from '../ids/index.js';
import {refreshTarget} from '../routing/index.js';

/** How long credits are valid after a response of the broker. */
const CREDITS_TTL_MS = 2500;

/** Applies the credits in a broker's response. */
export function applyCredits(
  step: Step,
  response: Extract<RoutingMessage, {type: 'routing.credits'}>,
): void {
  const group = step.state.credits.groups.get(makeId<GroupKey>(response.group));
  if (!group || response.limits === undefined) return;
  const affected = new Set<TargetId>(group.limits.keys());
  group.limits = new Map(response.limits);
  group.freshUntilMs = step.nowMs + CREDITS_TTL_MS;
  for (const targetId of group.limits.keys()) affected.add(targetId);
  for (const targetId of affected) refreshTarget(step, targetId);
}
