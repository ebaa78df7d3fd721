import type {OutgoingHttpHeaders} from 'node:http';
import type {DeliveredStream} from './delivered_stream.js';
import type {RequestId} from '../core/ids/index.js';

/** A caller's request whose answer is open: what the target client reads and writes. */
export interface OpenAnswer {
  readonly requestId: RequestId;
  readonly kind: 'model' | 'application';
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  /** Headers to pass on; hop-by-hop and rhubarbstile's own are left out. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  readonly stream: boolean;
  /** The part of a model stream that the caller already has, for a resumption. */
  readonly delivered: DeliveredStream;
  /** True once the head of the answer went to the caller. */
  readonly headSent: boolean;
  /** True once the answer is over or the caller has left; writes do nothing. */
  readonly closed: boolean;
  writeHead(status: number, headers: OutgoingHttpHeaders): void;
  /** False: wait for `onceDrained` before writing more. */
  write(chunk: Buffer | string): boolean;
  /** Keeps the last bytes for the end, so that the answer leaves in one piece. */
  writeLast(chunk: Buffer): void;
  /** Calls back when more may be written, or when the answer is closed. */
  onceDrained(resume: () => void): void;
}
