import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {CallerHead} from './caller_head.js';
import type {EffectOf} from '../core/effects/types.js';
import type {OpenAnswer} from './open_answer.js';
import {DeliveredStream} from './delivered_stream.js';
import {sendRefusal} from './send_refusal.js';

const DONE_EVENT = 'data: [DONE]\n\n';

interface CallerAnswerOptions {
  readonly head: CallerHead;
  readonly body: Buffer;
  readonly stream: boolean;
  /** Time after which the connection of a caller that does not read is closed. */
  readonly writeTimeoutMs: number;
  /** False once the node drains: the connection closes after the response. */
  readonly isKeepAliveAllowed: () => boolean;
}

/** The response to one caller. */
export class CallerAnswer implements OpenAnswer {
  readonly requestId;
  readonly kind;
  readonly method;
  readonly path;
  readonly headers;
  readonly body;
  readonly stream;
  readonly delivered = new DeliveredStream();
  isHeadSent = false;
  isClosed = false;
  private pendingResume?: () => void;
  private lastChunk?: Buffer;

  constructor(
    private readonly response: ServerResponse,
    private readonly options: CallerAnswerOptions,
  ) {
    const {head} = options;
    this.requestId = head.requestId;
    this.kind = head.kind;
    this.method = head.method;
    this.path = head.path;
    this.headers = head.headers;
    this.body = options.body;
    this.stream = options.stream;
  }

  writeHead(status: number, headers: OutgoingHttpHeaders): void {
    if (this.isClosed || this.isHeadSent) return;
    this.isHeadSent = true;
    this.disableKeepAliveOnDrain();
    headers['rhubarbstile-request-id'] = this.requestId;
    this.response.writeHead(status, headers);
  }

  write(chunk: Buffer | string): boolean {
    return this.isClosed || this.response.write(chunk);
  }

  writeLast(chunk: Buffer): void {
    this.lastChunk = chunk;
  }

  onceDrained(resume: () => void): void {
    if (this.isClosed) {
      resume();
      return;
    }
    const {response} = this;
    const timer = setTimeout(
      () => response.destroy(),
      this.options.writeTimeoutMs,
    );
    const settle = () => {
      clearTimeout(timer);
      response.off('drain', settle);
      this.pendingResume = undefined;
      resume();
    };
    this.pendingResume = settle;
    response.on('drain', settle);
  }

  /** Ends a complete response. */
  finish(): void {
    if (this.isClosed) return;
    if (this.stream && this.delivered.tokens > 0) {
      this.response.end(DONE_EVENT);
    } else {
      this.response.end(this.lastChunk);
    }
    this.close();
  }

  /** Ends with an error; a stream that already started gets it as its last event. */
  refuse({refusal, entries}: EffectOf<'refuse'>): void {
    if (this.isClosed) return;
    const {response} = this;
    if (!this.isHeadSent) {
      this.disableKeepAliveOnDrain();
      sendRefusal(response, this.requestId, refusal, entries);
    } else if (this.stream) {
      const text = JSON.stringify({error: refusal.body});
      response.end(`event: error\ndata: ${text}\n\n`);
    } else {
      response.destroy(); // missing bytes or a missing last chunk mark the response as truncated
    }
    this.close();
  }

  /** Sends the stored response of an earlier run. */
  sendStored({status, contentType, body}: EffectOf<'answerKept'>): void {
    if (this.isClosed) return;
    this.writeHead(status, {
      'content-type': contentType,
      'content-length': String(Buffer.byteLength(body)),
      'rhubarbstile-verdict': 'ran',
    });
    this.response.end(body);
    this.close();
  }

  private disableKeepAliveOnDrain(): void {
    if (!this.options.isKeepAliveAllowed())
      this.response.shouldKeepAlive = false;
  }

  /** Ignores further writes and resumes a target that waits for the caller to read. */
  close(): void {
    this.isClosed = true;
    this.pendingResume?.();
  }
}
