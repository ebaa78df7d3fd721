import type {
  IncomingHttpHeaders,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

import {forwardHeaders} from './forward_headers.js';

/** Larger answers are written in parts, so that it shows whether the caller reads. */
const PART_BYTES = 64 * 1024;
/** What a paused response of a target may hold besides. */
const PAUSED_BYTES = 64 * 1024;

/** Counts what the caller leaves unread. */
interface UnreadCount {
  update(sizeBytes: number): void;
}

/** An open request of a caller, and the response to it. */
export class CallerCall {
  /** Id of the last server-sent event that the caller has received; undefined when it has none. */
  lastEventId?: string;
  /** The response has been sent completely, or the connection was closed. */
  isEnded = false;
  /** Parts of the response that attempts have claimed. */
  claimCount = 0;
  unread?: UnreadCount;
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
    /** Another node sent the request, and reads headers of its own in the response. */
    readonly isForwarded = false,
    private readonly socket?: Pick<Socket, 'destroyed' | 'readableEnded'>,
  ) {}

  /** The caller's close has been read; the response closes within some turns of the event loop. */
  get hasLeft(): boolean {
    const {socket, response} = this;
    return (
      response.destroyed ||
      socket?.destroyed === true ||
      socket?.readableEnded === true
    );
  }

  get isHeadSent(): boolean {
    return this.response.headersSent;
  }

  /** Sends the response head. Does nothing after the first call, since a target that resumes the response sends a head again. */
  writeHead(status: number, headers: OutgoingHttpHeaders): void {
    if (this.response.headersSent || this.isEnded) return;
    this.response.writeHead(status, this.withConnection(headers));
  }

  /** Sends a part of the body. Returns false when the caller reads slower than the target writes; continue after `onDrain`. */
  write(bytes: Buffer): boolean {
    if (this.isEnded) return true;
    const isFlushed = this.response.write(bytes);
    if (!isFlushed) {
      this.unread?.update(this.response.writableLength + PAUSED_BYTES);
    }
    return isFlushed;
  }

  onDrain(listener: () => void): void {
    this.response.once('drain', () => {
      this.unread?.update(0);
      listener();
    });
  }

  /** Ends a response whose head has been sent. */
  finish(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.response.end();
  }

  /** Sends a complete response. */
  send(status: number, headers: OutgoingHttpHeaders, body: Buffer): void {
    if (this.isEnded) return;
    this.response.writeHead(
      status,
      this.withConnection({...headers, 'content-length': body.length}),
    );
    this.isEnded = true;
    if (body.length > PART_BYTES) {
      this.sendFrom(body, 0);
      return;
    }
    this.response.end(body);
    this.updateUnread(0);
  }

  /** Stores a target's error response, which is sent if no other target responds. */
  storeFailure(
    status: number,
    headers: OutgoingHttpHeaders,
    body: Buffer,
  ): void {
    this.failure = {status, headers, body};
  }

  /** Sends the stored error response. Returns false when there is none, or when a head has been sent already. */
  sendFailure(): boolean {
    if (!this.failure || this.response.headersSent) return false;
    const {status, headers, body} = this.failure;
    this.send(status, headers, body);
    return true;
  }

  /** Closes the connection, so that the caller can't take a truncated response for a complete one. */
  abort(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    const {socket, useChunkedEncodingByDefault} = this.response;
    if (useChunkedEncodingByDefault || !socket) {
      this.response.destroy();
      return;
    }
    // To a caller without chunked encoding, an orderly close would mark the end of the response.
    if (socket.writableNeedDrain) socket.resetAndDestroy();
    else socket.write('', () => socket.resetAndDestroy());
  }

  /** Writes the rest of a body as the caller reads it. */
  private sendFrom(body: Buffer, from: number): void {
    const {response} = this;
    if (response.destroyed) return;
    let at = from;
    while (at < body.length) {
      const part = body.subarray(at, at + PART_BYTES);
      at += part.length;
      if (response.write(part) || at === body.length) continue;
      this.updateUnread(body.length - at);
      response.once('drain', () => this.sendFrom(body, at));
      return;
    }
    response.end();
    this.updateUnread(0);
  }

  private updateUnread(restBytes: number): void {
    const {writableLength} = this.response;
    if (restBytes > 0 || writableLength > 0) {
      this.unread?.update(restBytes + writableLength);
    }
  }

  private withConnection(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    return {
      ...(this.isForwarded ? forwardHeaders.writeAnswer() : {}),
      ...headers,
      ...(this.isLeaving() ? {connection: 'close'} : {}),
    };
  }
}
