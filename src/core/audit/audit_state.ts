import type {AuditRecord} from './audit_record.js';
import type {AuditSegment} from './audit_segment.js';
import type {OperationId} from '../ids/index.js';

interface AuditWrite {
  /** What the segment holds when the write succeeds. */
  readonly records: readonly AuditRecord[];
  /** Waiting records that this settles, also those older than the segment has room for. */
  readonly settles: ReadonlySet<string>;
}

interface AuditCall {
  readonly operationId: OperationId;
  /** Undefined for a read. */
  readonly write?: AuditWrite;
}

interface AuditQuestion {
  /** The operator's call that waits. */
  readonly operationId: OperationId;
  readonly limit: number;
}

/** Records on their way to the store, and questions about the trail. */
export interface AuditState {
  /** Oldest first; bounded, since the store may be down for long. */
  readonly waiting: AuditRecord[];
  /** Records given up since the start because too many waited. */
  dropped: number;
  /** This node's segment as last seen; undefined while it is not known. */
  segment?: AuditSegment;
  /** The one write or read that is under way. */
  call?: AuditCall;
  /** No write before this: records are gathered, and failures back off. */
  nextWriteAtMs: number;
  /** Listings under way, by store operation. */
  readonly questions: Map<OperationId, AuditQuestion>;
}
