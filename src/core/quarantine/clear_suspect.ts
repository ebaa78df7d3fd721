import type {Fingerprint} from '../ids/index.js';
import type {Step} from '../state/types.js';

/** Removes a suspect and its trials; false when the fingerprint was not a suspect. */
export function clearSuspect(step: Step, fingerprint: Fingerprint): boolean {
  const {outbox, suspects, trials} = step.state.quarantine;
  for (const [targetId, trial] of trials) {
    if (trial.fingerprint === fingerprint) trials.delete(targetId);
  }
  const suspect = suspects.get(fingerprint);
  if (!suspect) return false;
  suspects.delete(fingerprint);
  outbox.suspects.delete(fingerprint);
  for (const loss of suspect.losses.values()) {
    loss.fingerprints.delete(fingerprint);
  }
  return true;
}
