import type {GroupKey} from './group_key.js';
import type {RoutingMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {makeId} from '../ids/index.js';
import {refreshTarget} from '../routing/index.js';

/** How long credits hold without a further answer. */
const CREDITS_HOLD_MS = 2500;

/** Puts a broker's answer in force. */
export function takeCredits(
  step: Step,
  answer: Extract<RoutingMessage, {type: 'routing.credits'}>,
): void {
  const group = step.state.credits.groups.get(makeId<GroupKey>(answer.group));
  if (!group || answer.limits === undefined) return;
  const touched = new Set<TargetId>(group.limits.keys());
  group.limits = new Map(answer.limits);
  group.freshUntilMs = step.nowMs + CREDITS_HOLD_MS;
  for (const targetId of group.limits.keys()) touched.add(targetId);
  for (const targetId of touched) refreshTarget(step, targetId);
}
