import type {IncomingMessage} from 'node:http';
import type {AnswerRelay} from './answer_relay.js';
import type {OpenAnswer} from '../callers/types.js';
import {EventSplitter} from './event_splitter.js';
import {selectEndToEndHeaders} from '../callers/index.js';

/** Forwards a model's token stream, complete events only. */
export class StreamRelay implements AnswerRelay {
  tokens = 0;
  isDone = false;
  readonly isUnresumable = false;
  private readonly splitter = new EventSplitter();

  constructor(
    private readonly answer: OpenAnswer,
    private readonly response: IncomingMessage,
    private readonly onTokens: (tokens: number) => void,
  ) {}

  processChunk(chunk: Buffer): boolean {
    if (this.isDone) return true;
    const {events, count, done} = this.splitter.split(chunk);
    this.isDone = done;
    if (count === 0) return this.forwardComments(events);
    this.tokens += count;
    const {answer, response} = this;
    if (!answer.isHeadSent) {
      answer.writeHead(
        response.statusCode!,
        selectEndToEndHeaders(response.headers),
      );
    }
    answer.delivered.add(events, count);
    const canContinue = answer.write(events);
    this.onTokens(this.tokens);
    return canContinue;
  }

  /** Forwards keep-alive comments, which do not count as progress of the response. */
  private forwardComments(comments: Buffer): boolean {
    const {answer} = this;
    if (comments.length === 0 || !answer.isHeadSent) return true;
    return answer.write(comments);
  }

  finish(): boolean {
    if (!this.isDone) return false;
    const {answer, response} = this;
    if (!answer.isHeadSent) {
      answer.writeHead(
        response.statusCode!,
        selectEndToEndHeaders(response.headers),
      );
    }
    return true;
  }

  keptAnswer(): undefined {}
}
