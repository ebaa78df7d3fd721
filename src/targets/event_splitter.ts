const EVENT_END = '\n\n';
const LINE_END = 0x0a;
const COMMENT_START = 0x3a;
const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const EMPTY = Buffer.alloc(0);
/** Longer events are not valid in a token stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

interface SplitEvents {
  /** Complete events, without the end marker. */
  readonly events: Buffer;
  /** Number of events with content; events of comments only are not counted. */
  readonly count: number;
  /** The end marker was received. */
  readonly done: boolean;
}

/** Splits a server-sent event stream at event boundaries, without parsing the events. */
export class EventSplitter {
  /** Chunks of the incomplete event; joining them on each arrival would take time quadratic in its length. */
  private pendingChunks: Buffer[] = [];
  private pendingBytes = 0;

  /** @param maxEventBytes Size of an incomplete event from which `overflows` is true. */
  constructor(private readonly maxEventBytes = MAX_EVENT_BYTES) {}

  /** True when the incomplete event exceeds the size limit. */
  get overflows(): boolean {
    return this.pendingBytes > this.maxEventBytes;
  }

  /** True when no incomplete event is buffered. */
  get isBetweenEvents(): boolean {
    return this.pendingBytes === 0;
  }

  /** Adds a chunk and returns the events that it completes. */
  split(chunk: Buffer): SplitEvents {
    if (!this.completesEvent(chunk)) {
      this.appendPending(chunk);
      return {events: EMPTY, count: 0, done: false};
    }
    const bytes =
      this.pendingChunks.length === 0
        ? chunk
        : Buffer.concat([...this.pendingChunks, chunk]);
    let count = 0;
    let from = 0;
    let done = false;
    for (;;) {
      const at = bytes.indexOf(EVENT_END, from);
      if (at < 0) break;
      const next = at + EVENT_END.length;
      done = isDone(bytes, from, next);
      if (done) break;
      if (!isComment(bytes, from, at)) count += 1;
      from = next;
    }
    this.pendingChunks = [];
    this.pendingBytes = 0;
    if (!done) this.appendPending(bytes.subarray(from));
    return {events: bytes.subarray(0, from), count, done};
  }

  /** Whether an event ends within the chunk; its end marker may be split across two chunks. */
  private completesEvent(chunk: Buffer): boolean {
    const isSplitSeparator =
      chunk[0] === LINE_END && this.pendingChunks.at(-1)?.at(-1) === LINE_END;
    return isSplitSeparator || chunk.includes(EVENT_END);
  }

  private appendPending(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.pendingChunks.push(bytes);
    this.pendingBytes += bytes.length;
  }
}

function isDone(bytes: Buffer, from: number, to: number): boolean {
  if (to - from !== DONE_EVENT.length) return false;
  return bytes.compare(DONE_EVENT, 0, DONE_EVENT.length, from, to) === 0;
}

/** Whether all lines are comments or empty, as in keep-alive events. */
function isComment(bytes: Buffer, from: number, to: number): boolean {
  for (let at = from; at < to;) {
    if (bytes[at] !== COMMENT_START && bytes[at] !== LINE_END) return false;
    const end = bytes.indexOf(LINE_END, at);
    if (end < 0 || end >= to) break;
    at = end + 1;
  }
  return true;
}
