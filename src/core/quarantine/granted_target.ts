import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';

/** The only target on which a suspect may run now; undefined without a grant and for other requests. */
export function grantedTarget(
  step: Step,
  {fingerprint}: RequestInfo,
): TargetId | undefined {
  const grant = step.state.quarantine.suspects.get(fingerprint)?.grant;
  return grant && grant.untilMs > step.nowMs ? grant.targetId : undefined;
}
