import type {LoadDigest, ServingStep} from '../types.js';

/** Longest silence between two processes of a node for which the earlier one's last report counts: in a longer one it may have served behind a partition. */
const MAX_SILENCE_MS = 3000;

/** Records the retries that a node reports, and the last report of a process that has been replaced. */
export function recordReportedRetries(
  {state, nowMs}: ServingStep,
  {from, incarnation, retries}: LoadDigest,
): void {
  const {reported, predecessors} = state.retries;
  const previous = reported.get(from);
  reported.set(from, {incarnation, atMs: nowMs, retries});
  if (!previous || previous.incarnation === incarnation) return;
  const isKnown = previous.retries !== undefined;
  if (!isKnown || nowMs - previous.atMs > MAX_SILENCE_MS) {
    predecessors.delete(from);
    return;
  }
  predecessors.set(from, {
    successor: incarnation,
    heardAtMs: previous.atMs,
    retries: previous.retries,
  });
}
