import type {OrganisationId} from '../ids/index.js';
import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Queue lane of a request: its organisation's, or the single shared one without fairness. */
export function laneOf(
  step: Step,
  info: RequestInfo,
): OrganisationId | undefined {
  const {fairness} = step.state.admission.options;
  return fairness ? info.organisation : undefined;
}
