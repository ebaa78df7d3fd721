import type {
  IncomingHttpHeaders,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';

/** A caller's open request: what it sent, and the way back to it. */
export class CallerCall {
  /** The last event that the caller has. */
  lastEventId?: string;
  isEnded = false;

  constructor(
    readonly method: string,
    readonly path: string,
    readonly headers: IncomingHttpHeaders,
    readonly body: Buffer,
    readonly callerId: string,
    private readonly response: ServerResponse,
    private readonly isLeaving: () => boolean,
  ) {}

  get hasHead(): boolean {
    return this.response.headersSent;
  }

  /** Starts the answer; later heads, of targets that resume it, are not passed on. */
  writeHead(status: number, headers: OutgoingHttpHeaders): void {
    if (this.response.headersSent || this.isEnded) return;
    this.response.writeHead(status, this.withConnection(headers));
  }

  /** Passes on a part of the body; false when the caller reads slower than the target writes. */
  write(bytes: Buffer): boolean {
    if (this.isEnded) return true;
    return this.response.write(bytes);
  }

  onDrain(listener: () => void): void {
    this.response.once('drain', listener);
  }

  /** Ends an answer whose head was written. */
  finish(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.response.end();
  }

  /** Sends a whole answer. */
  send(status: number, headers: OutgoingHttpHeaders, body: Buffer): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.response.writeHead(
      status,
      this.withConnection({...headers, 'content-length': body.length}),
    );
    this.response.end(body);
  }

  /** Breaks the answer off, so that it can't be taken for a whole one. */
  cut(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.response.destroy();
  }

  private withConnection(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    return this.isLeaving() ? {...headers, connection: 'close'} : headers;
  }
}
