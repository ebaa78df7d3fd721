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
  private hasNoLength = false;
  private failure?: {
    readonly status: number;
    readonly headers: OutgoingHttpHeaders;
    readonly body: Buffer;
  };

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

  /**
   * Has the answer end with its connection, as the target's own does: without
   * a length nobody can tell a whole answer from one that was cut, so the
   * caller must not be told that it is whole.
   */
  endWithConnection(): void {
    if (this.response.headersSent) return;
    this.hasNoLength = true;
    this.response.removeHeader('transfer-encoding');
  }

  /** Sends a whole answer. */
  send(status: number, headers: OutgoingHttpHeaders, body: Buffer): void {
    if (this.isEnded) return;
    this.isEnded = true;
    const length = this.hasNoLength ? {} : {'content-length': body.length};
    this.response.writeHead(
      status,
      this.withConnection({...headers, ...length}),
    );
    this.response.end(body);
  }

  /** Keeps a target's answer that says it failed, in case no other target answers. */
  keepFailure(
    status: number,
    headers: OutgoingHttpHeaders,
    body: Buffer,
  ): void {
    this.failure = {status, headers, body};
  }

  /** Sends the kept answer; false when there is none. */
  sendFailure(): boolean {
    if (!this.failure || this.response.headersSent) return false;
    const {status, headers, body} = this.failure;
    this.send(status, headers, body);
    return true;
  }

  /** Breaks the answer off, so that it can't be taken for a whole one. */
  cut(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.response.destroy();
  }

  private withConnection(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    const closes = this.hasNoLength || this.isLeaving();
    return closes ? {...headers, connection: 'close'} : headers;
  }
}
