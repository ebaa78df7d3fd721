import {SLOW_START_MS} from './slow_start_ms.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import type {TargetLoad} from './target_load.js';

/** Usable slots of a target: none while it is barred or ejected, a growing share during slow start. */
export function allowedSlots(
  step: Step,
  target: Target,
  load: TargetLoad,
): number {
  if (target.bar) return 0;
  if (step.nowMs < load.ejectedUntilMs) return 0;
  const startedAtMs = Math.max(load.returnedAtMs, target.barChangedAtMs);
  if (startedAtMs <= 0) return target.slots;
  const share = (step.nowMs - startedAtMs) / SLOW_START_MS;
  if (share >= 1) return target.slots;
  return Math.max(1, Math.floor(target.slots * share));
}
