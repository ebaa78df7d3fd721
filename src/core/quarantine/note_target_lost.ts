import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';

/** Makes suspects of the requests that were in flight on a target that died. */
export function noteTargetLost(
  _step: Step,
  _targetId: TargetId,
  _inFlight: readonly RequestInfo[],
): void {}
