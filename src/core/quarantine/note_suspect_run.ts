import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Counts a suspect's running attempts at this node: `change` is 1 at a start and -1 at an end. */
export function noteSuspectRun(
  step: Step,
  {fingerprint}: RequestInfo,
  change: 1 | -1,
): void {
  const suspect = step.state.quarantine.suspects.get(fingerprint);
  if (suspect) suspect.runs = Math.max(0, suspect.runs + change);
}
