import type {LoadDigest, ServingState} from '../types.js';

/** Number of digests whose rows are kept, as for the loads. */
const MAX_SENT_DIGESTS = 20;

/** Keeps the rows of a digest that this node sends, to take them off the sum of a relay. */
export function recordSentRows(
  {fairQueue}: ServingState,
  {work, sentAtMs}: LoadDigest,
): void {
  const {sentRows} = fairQueue;
  if (!work && sentRows.size === 0) return;
  sentRows.set(sentAtMs, work ?? []);
  for (const key of sentRows.keys()) {
    if (sentRows.size <= MAX_SENT_DIGESTS) break;
    sentRows.delete(key);
  }
}
