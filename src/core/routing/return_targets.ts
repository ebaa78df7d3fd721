import type {Step} from '../state/types.js';
import {SLOW_START_MS} from './slow_start_ms.js';
import {loadOf} from './load_of.js';
import {refreshTarget} from './refresh_target.js';

/** Readmits targets whose ejection has ended; slow start raises their slots step by step. */
export function returnTargets(step: Step): void {
  for (const pool of step.state.routing.pools.values()) {
    for (const targetId of pool.returning) {
      refreshTarget(step, targetId);
      const {returnedAtMs} = loadOf(step, targetId);
      if (step.nowMs - returnedAtMs < SLOW_START_MS) continue;
      pool.returning.delete(targetId);
    }
  }
}
