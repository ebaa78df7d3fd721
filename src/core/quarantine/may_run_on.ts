import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';

/** Keeps a suspect off targets that run another suspect. */
export function mayRunOn(
  _step: Step,
  _info: RequestInfo,
  _targetId: TargetId,
): boolean {
  return true;
}
