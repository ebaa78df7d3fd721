import type {AuditRecord} from './audit_record.js';
import type {AuditSegment} from './audit_segment.js';
import type {OperationId} from '../ids/index.js';

interface AuditWrite {
  /** Content of the segment once the write succeeds. */
  readonly records: readonly AuditRecord[];
  /** Waiting records that the write settles, including those dropped because the segment is full. */
  readonly settles: ReadonlySet<string>;
}

interface AuditCall {
  readonly operationId: OperationId;
  /** The write in flight; undefined for a read. */
  readonly write?: AuditWrite;
}

interface TrailRequest {
  /** The operator's request to be answered. */
  readonly operationId: OperationId;
  /** Largest number of records to return. */
  readonly limit: number;
}

/** Records to be written to the store, and pending requests for the trail. */
export interface AuditState {
  /** Records not written yet, oldest first; bounded, since the store may be down for long. */
  readonly waiting: AuditRecord[];
  /** Number of records dropped since the start because too many were waiting. */
  dropped: number;
  /** This node's segment as last read or written; undefined when it must be read before a write. */
  segment?: AuditSegment;
  /** The one write or read in flight. */
  call?: AuditCall;
  /** No write before this time: records are batched, and failed writes back off. */
  nextWriteAtMs: number;
  /** Operators' requests whose listing is in flight, by store operation. */
  readonly questions: Map<OperationId, TrailRequest>;
}
