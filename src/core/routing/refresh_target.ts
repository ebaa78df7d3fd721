import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {freeSlots} from './free_slots.js';
import {loadOf} from './load_of.js';
import {markReady} from '../admission/index.js';

/** Adds a target to its pool's free set, or removes it, by its current free slots. */
export function refreshTarget(step: Step, targetId: TargetId): void {
  const {routing, targets} = step.state;
  const target = targets.byId.get(targetId);
  const pool = target && routing.pools.get(target.service);
  if (!target || !pool?.members.has(targetId)) return;
  const load = loadOf(step, targetId);
  if (freeSlots(step, target, load) <= 0) {
    pool.free.delete(targetId);
    return;
  }
  pool.free.add(targetId);
  markReady(step, target.service);
}
