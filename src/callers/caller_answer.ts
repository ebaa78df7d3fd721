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
  /** Longest wait for a caller that does not read. */
  readonly writeTimeoutMs: number;
  /** False once the node leaves: the caller is told to use another connection. */
  readonly mayKeepAlive: () => boolean;
}

/** One caller's answer. */
export class CallerAnswer implements OpenAnswer {
  readonly requestId;
  readonly kind;
  readonly method;
  readonly path;
  readonly headers;
  readonly body;
  readonly stream;
  readonly delivered = new DeliveredStream();
  headSent = false;
  closed = false;
  private waiting?: () => void;
  private last?: Buffer;

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
    if (this.closed || this.headSent) return;
    this.headSent = true;
    this.noteDrain();
    headers['rhubarbstile-request-id'] = this.requestId;
    this.response.writeHead(status, headers);
  }

  write(chunk: Buffer | string): boolean {
    return this.closed || this.response.write(chunk);
  }

  writeLast(chunk: Buffer): void {
    this.last = chunk;
  }

  onceDrained(resume: () => void): void {
    if (this.closed) {
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
      this.waiting = undefined;
      resume();
    };
    this.waiting = settle;
    response.on('drain', settle);
  }

  /** Ends an answer that the caller has whole. */
  finish(): void {
    if (this.closed) return;
    if (this.stream && this.delivered.tokens > 0) {
      this.response.end(DONE_EVENT);
    } else {
      this.response.end(this.last);
    }
    this.close();
  }

  /** Ends with an error; a stream that began gets it as its last event. */
  refuse({refusal, entries}: EffectOf<'refuse'>): void {
    if (this.closed) return;
    const {response} = this;
    if (!this.headSent) {
      this.noteDrain();
      sendRefusal(response, this.requestId, refusal, entries);
    } else if (this.stream) {
      const text = JSON.stringify({error: refusal.body});
      response.end(`event: error\ndata: ${text}\n\n`);
    } else {
      response.destroy(); // the length or the last chunk is missing: not a whole answer
    }
    this.close();
  }

  /** Sends the kept answer of an earlier run. */
  sendKept({status, contentType, body}: EffectOf<'answerKept'>): void {
    if (this.closed) return;
    this.writeHead(status, {
      'content-type': contentType,
      'content-length': String(Buffer.byteLength(body)),
      'rhubarbstile-verdict': 'ran',
    });
    this.response.end(body);
    this.close();
  }

  private noteDrain(): void {
    if (!this.options.mayKeepAlive()) this.response.shouldKeepAlive = false;
  }

  /** Takes no more writes; wakes a target that waits for the caller. */
  close(): void {
    this.closed = true;
    this.waiting?.();
  }
}
