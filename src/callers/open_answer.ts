import type {OutgoingHttpHeaders} from 'node:http';
import type {DeliveredStream} from './delivered_stream.js';
import type {RequestId} from '../core/ids/index.js';

/** A caller's request with its response in progress, as the target client uses it. */
export interface OpenAnswer {
  readonly requestId: RequestId;
  readonly kind: 'model' | 'application';
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  /** Headers to forward, without hop-by-hop headers and those of rhubarbstile. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  /** The caller requested a token stream. */
  readonly stream: boolean;
  /** The part of a model stream that was already delivered, needed for a resumption. */
  readonly delivered: DeliveredStream;
  /** True once the response head was sent to the caller. */
  readonly isHeadSent: boolean;
  /** True once the response has ended or the caller has disconnected; writes are then ignored. */
  readonly isClosed: boolean;
  /** Sends status and headers, with the request ID added; ignored when already sent. */
  writeHead(status: number, headers: OutgoingHttpHeaders): void;
  /** False when the caller must wait for `onceDrained` before the next write. */
  write(chunk: Buffer | string): boolean;
  /** Buffers the last bytes until the end, so that they are sent in one write. */
  writeLast(chunk: Buffer): void;
  /** Calls `resume` when more may be written, or when the response is closed. */
  onceDrained(resume: () => void): void;
}
