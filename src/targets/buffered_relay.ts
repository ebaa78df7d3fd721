import {isUtf8} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {AnswerRelay} from './answer_relay.js';
import type {OpenAnswer} from '../callers/types.js';
import {selectEndToEndHeaders} from '../callers/index.js';

/** Responses up to this size are buffered until complete, so that a truncated one can be retried. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Largest response that is stored under an idempotency key. */
const MAX_STORED_BYTES = 16 * 1024;

/** Buffers a response until it is complete; large ones and event streams are forwarded as they arrive. */
export class BufferedRelay implements AnswerRelay {
  readonly isDone = false;
  isUnresumable = false;
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private whole?: Buffer;

  constructor(
    private readonly answer: OpenAnswer,
    private readonly response: IncomingMessage,
  ) {
    const contentType = response.headers['content-type'] ?? '';
    if (contentType.startsWith('text/event-stream')) this.startForwarding();
  }

  processChunk(chunk: Buffer): boolean {
    if (this.isUnresumable) return this.answer.write(chunk);
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    return this.bufferedBytes <= MAX_BUFFERED_BYTES || this.startForwarding();
  }

  finish(): boolean {
    if (this.isUnresumable) return true;
    const {chunks, response} = this;
    this.whole = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    const headers = selectEndToEndHeaders(response.headers);
    // A response to HEAD declares the length of a body that does not follow.
    const declaredLength = response.headers['content-length'];
    const length =
      this.bufferedBytes > 0 ? String(this.bufferedBytes) : declaredLength;
    if (length !== undefined) headers['content-length'] = length;
    else if (response.statusCode !== 204) headers['content-length'] = '0';
    this.answer.writeHead(response.statusCode!, headers);
    this.answer.writeLast(this.whole);
    return true;
  }

  /** Tokens of a model's response, as reported in its `usage`. */
  get tokens(): number {
    if (this.answer.kind !== 'model' || !this.whole) return 0;
    return readTokens(this.whole);
  }

  keptAnswer(): {contentType: string; body: string} | undefined {
    const {whole} = this;
    if (!whole || whole.length > MAX_STORED_BYTES || !isUtf8(whole)) {
      return undefined;
    }
    const contentType = this.response.headers['content-type'] ?? '';
    return {contentType, body: whole.toString()};
  }

  private startForwarding(): boolean {
    this.isUnresumable = true;
    const {headers, statusCode} = this.response;
    const length = headers['content-length'];
    this.answer.writeHead(statusCode!, {
      ...selectEndToEndHeaders(headers),
      ...(length === undefined ? {} : {'content-length': length}),
    });
    const chunks = this.chunks;
    this.chunks = [];
    return chunks.map(chunk => this.answer.write(chunk)).at(-1) ?? true;
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
