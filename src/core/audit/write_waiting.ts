import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';
import {dropOldest} from './drop_oldest.js';
import {isStoreUp} from '../membership/index.js';
import {segmentKey} from './segment_key.js';

const MAX_SEGMENT_RECORDS = 256;
const OPTIONS = {priority: STORE_PRIORITY.audit};

/** Starts the next read or write when records are waiting and one is due. */
export function writeWaiting(step: Step): void {
  const {audit, drain, self} = step.state;
  if (audit.waiting.length === 0 || audit.call) return;
  const isDue = step.nowMs >= audit.nextWriteAtMs;
  // A draining node writes at once instead of batching.
  const isUrgent = drain.draining && isStoreUp(step.state, step.nowMs);
  if (!isDue && !isUrgent) return;
  const key = segmentKey(self.nodeId);
  const {segment} = audit;
  if (!segment) {
    const operationId = callStore(step, 'audit', {kind: 'get', key}, OPTIONS);
    audit.call = {operationId};
    return;
  }
  const merged = [...segment.records, ...audit.waiting];
  merged.sort((a, b) => a.atMs - b.atMs);
  const records = dropOldest(merged, MAX_SEGMENT_RECORDS);
  const settles = new Set(audit.waiting.map(record => record.recordId));
  const operationId = callStore(
    step,
    'audit',
    {
      kind: 'compareAndSwap',
      key,
      expectedVersion: segment.version,
      value: JSON.stringify({records}),
    },
    OPTIONS,
  );
  audit.call = {operationId, write: {records, settles}};
}
