import type {OnceClaim} from './once_claim.js';
import type {OnceEntry} from './once_entry.js';
import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Creates the ledger entry that this node writes for a claim; it expires after the service's retention. */
export function createOnceEntry(
  step: Step,
  claim: OnceClaim,
  info: RequestInfo,
  outcome: Pick<OnceEntry, 'state' | 'status' | 'answer'>,
): OnceEntry {
  const {config, self} = step.state;
  const service = config.document.services.get(info.service);
  const requestTimeoutMs = info.deadlineAtMs - info.arrivedAtMs;
  return {
    nonce: claim.nonce,
    nodeId: self.nodeId,
    incarnation: self.incarnation,
    bodyDigest: info.bodyDigest,
    expiresAtMs:
      step.nowMs + requestTimeoutMs + (service?.onceRetentionMs ?? 0),
    ...outcome,
  };
}
