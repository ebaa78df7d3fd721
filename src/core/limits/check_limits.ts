import type {Refusal} from '../errors/index.js';
import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';

/** Refuses a request over its organisation's limits; otherwise counts it in. */
export function checkLimits(
  step: Step,
  info: RequestInfo,
): Refusal | undefined {
  const {organisation} = info;
  const {inFlight} = step.state.limits;
  const used = inFlight.get(organisation) ?? 0;
  const config = step.state.config.document.organisations.get(organisation);
  if (used >= (config?.maxInFlight ?? 0)) {
    return createRefusal('RateLimited', 'not-run', {
      params: {organisation},
      retryAfterMs: 1000,
    });
  }
  inFlight.set(organisation, used + 1);
  return undefined;
}
