const MAX_UNPARSED_BYTES = 256 * 1024;

interface ChunkJson {
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: {readonly content?: string};
  }[];
}

/**
 * Events of a model stream that were already delivered to the caller. They are
 * stored as bytes and parsed only when a resumption needs the text, or above
 * 256 KiB to limit the memory of long streams.
 */
export class DeliveredStream {
  /** Number of tokens delivered, one per event. */
  tokens = 0;
  private parsedText = '';
  private unparsed: Buffer[] = [];
  private unparsedBytes = 0;

  /** Adds complete events. */
  add(events: Buffer, tokens: number): void {
    this.tokens += tokens;
    this.unparsed.push(events);
    this.unparsedBytes += events.length;
    if (this.unparsedBytes > MAX_UNPARSED_BYTES) this.parsePending();
  }

  /** Returns the text of all events so far. */
  text(): string {
    this.parsePending();
    return this.parsedText;
  }

  private parsePending(): void {
    const events = Buffer.concat(this.unparsed).toString().split('\n\n');
    this.unparsed = [];
    this.unparsedBytes = 0;
    for (const event of events) {
      this.parsedText += readContent(event);
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
