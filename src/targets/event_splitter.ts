const EVENT_END = '\n\n';
const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const NOTHING = Buffer.alloc(0);
/** An event longer than this is not one of a token stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

interface SplitEvents {
  /** Complete events, without the end marker. */
  readonly events: Buffer;
  readonly count: number;
  /** The end marker was among them. */
  readonly done: boolean;
}

/** Cuts a server-sent event stream at event ends, without parsing the events. */
export class EventSplitter {
  private rest: Buffer = NOTHING;

  /** True when the incomplete event is longer than any event may be. */
  get overflows(): boolean {
    return this.rest.length > MAX_EVENT_BYTES;
  }

  /** True when all bytes so far were whole events. */
  get isBetweenEvents(): boolean {
    return this.rest.length === 0;
  }

  /** Adds a chunk; returns the events that became complete with it. */
  split(chunk: Buffer): SplitEvents {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    let count = 0;
    let from = 0;
    let done = false;
    for (;;) {
      const at = bytes.indexOf(EVENT_END, from);
      if (at < 0) break;
      const next = at + EVENT_END.length;
      done = isDone(bytes, from, next);
      if (done) break;
      count += 1;
      from = next;
    }
    this.rest = done ? NOTHING : bytes.subarray(from);
    return {events: bytes.subarray(0, from), count, done};
  }
}

function isDone(bytes: Buffer, from: number, to: number): boolean {
  if (to - from !== DONE_EVENT.length) return false;
  return bytes.compare(DONE_EVENT, 0, DONE_EVENT.length, from, to) === 0;
}
