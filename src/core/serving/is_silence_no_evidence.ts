import type {ServingEvent} from './events.js';

/** Whether the silence of a probed engine says nothing of it or the path: targets that serve may reset the connections of probes for closed bodies, and silent targets may stand still, with a sound path to them. */
export function isSilenceNoEvidence({
  isForClose,
  isForSilence,
  outcome,
}: Extract<ServingEvent, {type: 'probeAnswered'}>): boolean {
  return outcome === 'silent' && (isForClose || isForSilence) === true;
}
