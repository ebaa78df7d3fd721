import {isUtf8} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {AnswerRelay} from './answer_relay.js';
import type {OpenAnswer} from '../callers/types.js';
import {passOnHeaders} from '../callers/index.js';

/** Answers up to this size are held until they are whole, so that a cut one can be tried again. */
const MAX_HELD_BYTES = 1024 * 1024;
const MAX_KEPT_BYTES = 16 * 1024;

/** Holds an answer until it is whole; longer ones and event streams are passed on as they come. */
export class WholeRelay implements AnswerRelay {
  readonly isDone = false;
  isUnresumable = false;
  private held: Buffer[] = [];
  private heldBytes = 0;
  private whole?: Buffer;

  constructor(
    private readonly answer: OpenAnswer,
    private readonly response: IncomingMessage,
  ) {
    const contentType = response.headers['content-type'] ?? '';
    if (contentType.startsWith('text/event-stream')) this.startPassing();
  }

  accept(chunk: Buffer): boolean {
    if (this.isUnresumable) return this.answer.write(chunk);
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    return this.heldBytes <= MAX_HELD_BYTES || this.startPassing();
  }

  finish(): boolean {
    if (this.isUnresumable) return true;
    const {held, response} = this;
    this.whole = held.length === 1 ? held[0]! : Buffer.concat(held);
    const headers = passOnHeaders(response.headers);
    // A HEAD answer states the length of a body that does not follow.
    const stated = response.headers['content-length'];
    const length = this.heldBytes > 0 ? String(this.heldBytes) : stated;
    if (length !== undefined) headers['content-length'] = length;
    else if (response.statusCode !== 204) headers['content-length'] = '0';
    this.answer.writeHead(response.statusCode!, headers);
    this.answer.writeLast(this.whole);
    return true;
  }

  /** Tokens of a model's answer, by its own count. */
  get tokens(): number {
    if (this.answer.kind !== 'model' || !this.whole) return 0;
    return readTokens(this.whole);
  }

  keptAnswer(): {contentType: string; body: string} | undefined {
    const {whole} = this;
    if (!whole || whole.length > MAX_KEPT_BYTES || !isUtf8(whole)) {
      return undefined;
    }
    const contentType = this.response.headers['content-type'] ?? '';
    return {contentType, body: whole.toString()};
  }

  private startPassing(): boolean {
    this.isUnresumable = true;
    const {headers, statusCode} = this.response;
    const length = headers['content-length'];
    this.answer.writeHead(statusCode!, {
      ...passOnHeaders(headers),
      ...(length === undefined ? {} : {'content-length': length}),
    });
    const held = this.held;
    this.held = [];
    return held.map(chunk => this.answer.write(chunk)).at(-1) ?? true;
  }
}

function readTokens(body: Buffer): number {
  try {
    const json = JSON.parse(body.toString()) as {
      usage?: {completion_tokens?: number};
    };
    return json.usage?.completion_tokens ?? 0;
  } catch {
    return 0;
  }
}
