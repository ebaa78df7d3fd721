import type {RequestId} from '../core/ids/index.js';

/** A caller's request whose answer is open: what the target client reads and writes. */
export interface OpenAnswer {
  readonly requestId: RequestId;
  readonly kind: 'model' | 'application';
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  /** Headers to pass on; hop-by-hop and rhubarbstile's own are left out. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly stream: boolean;
  /** Complete SSE events that the caller already has, for a resumption. */
  readonly deliveredEvents: string[];
  /** True once the head of the answer went to the caller. */
  readonly headSent: boolean;
  writeHead(status: number, headers: Readonly<Record<string, string>>): void;
  /** False: wait for `onceDrained` before writing more. */
  write(chunk: Buffer | string): boolean;
  onceDrained(resume: () => void): void;
}
