const FOLD_BYTES = 256 * 1024;

interface ChunkJson {
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: {readonly content?: string};
  }[];
}

/**
 * Events of a model stream that a caller already has. They are kept as bytes and
 * parsed only when a resumption asks for the text, or to keep long streams small.
 */
export class DeliveredStream {
  /** Tokens delivered: one for each event. */
  tokens = 0;
  private folded = '';
  private waiting: Buffer[] = [];
  private waitingBytes = 0;

  /** Adds complete events. */
  add(events: Buffer, tokens: number): void {
    this.tokens += tokens;
    this.waiting.push(events);
    this.waitingBytes += events.length;
    if (this.waitingBytes > FOLD_BYTES) this.fold();
  }

  /** The text of all events so far. */
  text(): string {
    this.fold();
    return this.folded;
  }

  private fold(): void {
    const events = Buffer.concat(this.waiting).toString().split('\n\n');
    this.waiting = [];
    this.waitingBytes = 0;
    for (const event of events) {
      this.folded += readContent(event);
    }
  }
}

function readContent(event: string): string {
  if (!event.startsWith('data: ')) return '';
  try {
    const {choices} = JSON.parse(event.slice('data: '.length)) as ChunkJson;
    return choices?.[0]?.delta?.content ?? choices?.[0]?.text ?? '';
  } catch {
    return '';
  }
}
