const EVENT_END = '\n\n';
const LINE_END = 0x0a;
const COMMENT_START = 0x3a;
const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const NOTHING = Buffer.alloc(0);
/** An event longer than this is not one of a token stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

interface SplitEvents {
  /** Complete events, without the end marker. */
  readonly events: Buffer;
  /** Those that are more than comments. */
  readonly count: number;
  /** The end marker was among them. */
  readonly done: boolean;
}

/** Cuts a server-sent event stream at event ends, without parsing the events. */
export class EventSplitter {
  /** The incomplete event, in the pieces in which it came: joining them at each would take the square of its length. */
  private pieces: Buffer[] = [];
  private sizeBytes = 0;

  /** @param maxEventBytes longest event that is waited for. */
  constructor(private readonly maxEventBytes = MAX_EVENT_BYTES) {}

  /** True when the incomplete event is longer than any event may be. */
  get overflows(): boolean {
    return this.sizeBytes > this.maxEventBytes;
  }

  /** True when all bytes so far were whole events. */
  get isBetweenEvents(): boolean {
    return this.sizeBytes === 0;
  }

  /** Adds a chunk; returns the events that became complete with it. */
  split(chunk: Buffer): SplitEvents {
    if (!this.endsWith(chunk)) {
      this.keep(chunk);
      return {events: NOTHING, count: 0, done: false};
    }
    const bytes =
      this.pieces.length === 0 ? chunk : Buffer.concat([...this.pieces, chunk]);
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
    this.pieces = [];
    this.sizeBytes = 0;
    if (!done) this.keep(bytes.subarray(from));
    return {events: bytes.subarray(0, from), count, done};
  }

  /** Whether an event ends in the chunk, or with its first byte. */
  private endsWith(chunk: Buffer): boolean {
    const isSeam =
      chunk[0] === LINE_END && this.pieces.at(-1)?.at(-1) === LINE_END;
    return isSeam || chunk.includes(EVENT_END);
  }

  private keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.pieces.push(bytes);
    this.sizeBytes += bytes.length;
  }
}

function isDone(bytes: Buffer, from: number, to: number): boolean {
  if (to - from !== DONE_EVENT.length) return false;
  return bytes.compare(DONE_EVENT, 0, DONE_EVENT.length, from, to) === 0;
}

/** Whether all lines are comments, or empty: a sign of life at most. */
function isComment(bytes: Buffer, from: number, to: number): boolean {
  for (let at = from; at < to;) {
    if (bytes[at] !== COMMENT_START && bytes[at] !== LINE_END) return false;
    const end = bytes.indexOf(LINE_END, at);
    if (end < 0 || end >= to) break;
    at = end + 1;
  }
  return true;
}
