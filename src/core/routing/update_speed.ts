import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {loadOf} from './load_of.js';

const TARGET_SMOOTHING = 0.3;
const POOL_SMOOTHING = 0.02;

/** Updates the moving averages of the time per token of a target and of its service's pool. */
export function updateSpeed(
  step: Step,
  targetId: TargetId,
  msPerToken: number,
): void {
  const {routing, targets} = step.state;
  const target = targets.byId.get(targetId);
  const pool = target && routing.pools.get(target.service);
  if (!pool || !(msPerToken > 0)) return;
  const load = loadOf(step, targetId);
  load.msPerToken = movingAverage(
    load.msPerToken,
    msPerToken,
    TARGET_SMOOTHING,
  );
  pool.msPerToken = movingAverage(pool.msPerToken, msPerToken, POOL_SMOOTHING);
}

function movingAverage(
  current: number | undefined,
  value: number,
  weight: number,
): number {
  return current === undefined ? value : current + weight * (value - current);
}
