import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {ForwardSource} from '../core/serving/forwarding/types.js';
import type {NodeId} from '../core/ids/index.js';
import type {RefusalReason} from '../core/serving/types.js';
import {isAmount} from './is_amount.js';
import {makeId} from '../core/ids/index.js';

const FORWARDED_BY = 'rhubarbstile-forwarded-by';
const PRIOR_RUNS = 'rhubarbstile-prior-runs';
const VERDICT = 'rhubarbstile-verdict';
const REASON = 'rhubarbstile-reason';
const RETRY_AFTER_MS = 'rhubarbstile-retry-after-ms';

/** What a node says of its response to another node: `ran` for a target's own response, else whether the request may have run. */
interface ForwardResponse {
  readonly verdict: 'ran' | 'not-run' | 'may-have-run';
  readonly reason?: RefusalReason;
  readonly retryAfterMs?: number;
}

/** Headers of requests that one node passes on for another, and of the responses. They never reach targets or callers. */
export const forwardHeaders = {
  writeRequest: ({nodeId, priorRunCount}: ForwardSource) => ({
    [FORWARDED_BY]: nodeId,
    [PRIOR_RUNS]: priorRunCount,
  }),

  /** Reads the headers of a request and removes them; undefined if it is no node's. */
  takeRequest(headers: IncomingHttpHeaders): ForwardSource | undefined {
    const nodeId = headers[FORWARDED_BY];
    const priorRunCount = Number(headers[PRIOR_RUNS]);
    delete headers[FORWARDED_BY];
    delete headers[PRIOR_RUNS];
    if (typeof nodeId !== 'string' || !isAmount(priorRunCount)) {
      return undefined;
    }
    return {nodeId: makeId<NodeId>(nodeId), priorRunCount};
  },

  writeAnswer: (): OutgoingHttpHeaders => ({[VERDICT]: 'ran'}),

  writeRefusal(
    status: number,
    reason: RefusalReason,
    retryAfterMs: number | undefined,
  ): OutgoingHttpHeaders {
    // Only these two statuses don't state that the request has not run.
    const mayHaveRun = status === 502 || status === 504;
    return {
      [VERDICT]: mayHaveRun ? 'may-have-run' : 'not-run',
      [REASON]: reason,
      ...(retryAfterMs === undefined ? {} : {[RETRY_AFTER_MS]: retryAfterMs}),
    };
  },

  /** Reads the headers of a response and removes them; undefined if it is not that of a node. */
  takeResponse(headers: IncomingHttpHeaders): ForwardResponse | undefined {
    const verdict = headers[VERDICT];
    const reason = headers[REASON] as RefusalReason | undefined;
    const retryAfterMs = Number(headers[RETRY_AFTER_MS]);
    for (const name of [VERDICT, REASON, RETRY_AFTER_MS]) delete headers[name];
    if (
      verdict !== 'ran' &&
      verdict !== 'not-run' &&
      verdict !== 'may-have-run'
    ) {
      return undefined;
    }
    return {
      verdict,
      reason,
      ...(isAmount(retryAfterMs) ? {retryAfterMs} : {}),
    };
  },
};
