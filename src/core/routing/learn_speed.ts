import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {loadOf} from './load_of.js';

const TARGET_WEIGHT = 0.3;
const POOL_WEIGHT = 0.02;

/** Averages a target's time per token, and that of its service's pool. */
export function learnSpeed(
  step: Step,
  targetId: TargetId,
  msPerToken: number,
): void {
  const {routing, targets} = step.state;
  const target = targets.byId.get(targetId);
  const pool = target && routing.pools.get(target.service);
  if (!pool || !(msPerToken > 0)) return;
  const load = loadOf(step, targetId);
  load.msPerToken = average(load.msPerToken, msPerToken, TARGET_WEIGHT);
  pool.msPerToken = average(pool.msPerToken, msPerToken, POOL_WEIGHT);
}

function average(
  before: number | undefined,
  value: number,
  weight: number,
): number {
  return before === undefined ? value : before + weight * (value - before);
}
