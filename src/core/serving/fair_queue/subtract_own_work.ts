import type {LoadDigest, ServingState} from '../types.js';
import type {WorkRow} from './types.js';
import {decayWork} from './decay_work.js';

/** Returns the rows of a digest; from a relay's summary this node's own part is taken off, as it was in the digest that the summary includes. */
export function subtractOwnWork(
  {fairQueue}: ServingState,
  {work, scope, countedSentAtMs}: LoadDigest,
  nowMs: number,
): readonly WorkRow[] {
  if (!work) return [];
  if (scope !== 'fleet' || countedSentAtMs === undefined) return work;
  const own = fairQueue.sentRows.get(countedSentAtMs) ?? [];
  return work.map(row => {
    const sent = own.find(
      one => one.pool === row.pool && one.organisationId === row.organisationId,
    );
    if (!sent) return row;
    const ownTokens = decayWork(sent.tokens, nowMs - countedSentAtMs);
    return {...row, tokens: Math.max(0, row.tokens - ownTokens)};
  });
}
