import type {Entry} from '../entries/types.js';
import type {NodeState} from '../state/types.js';
import type {Refusal} from '../errors/index.js';
import {createRefusal} from '../errors/index.js';
import {findOrganisation} from './find_organisation.js';
import {resolveEntries} from '../entries/index.js';

interface CallerRefusal {
  readonly refusal: Refusal;
  readonly entries?: readonly Entry[];
}

const NOT_READY_RETRY_MS = 1000;

/**
 * Refuses requests that can be refused from the head alone, whatever the body
 * contains: while draining, before a configuration arrives, or unauthenticated.
 */
export function checkCaller(
  state: NodeState,
  tokenSha256: string | undefined,
  nowMs: number,
): CallerRefusal | undefined {
  if (state.drain.draining) {
    const {entries} = resolveEntries(state, {}, nowMs);
    const options = {retryAfterMs: 0};
    return {
      refusal: createRefusal('NodeDraining', 'not-run', options),
      entries,
    };
  }
  const {document} = state.config;
  if (document.revision === 0) {
    const {entries} = resolveEntries(state, {}, nowMs);
    const refusal = createRefusal('NodeNotReady', 'not-run', {
      params: {reason: 'no configuration has been received yet'},
      retryAfterMs: NOT_READY_RETRY_MS,
    });
    return {refusal, entries};
  }
  if (findOrganisation(document, tokenSha256)) return undefined;
  return {refusal: createRefusal('NotAuthenticated', 'not-run')};
}
