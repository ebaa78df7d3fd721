import type {ServerResponse} from 'node:http';
import {createCompletionToken} from './create_completion_token.js';
import {sendJson} from './send_json.js';

interface CompletionOptions {
  readonly prompt: string;
  /** Index of the first token to generate; above 0 when an earlier attempt is resumed. */
  readonly firstIndex: number;
  /** Index after the last token. */
  readonly endIndex: number;
  readonly stream: boolean;
  readonly chat: boolean;
  readonly prefillMs: number;
  /** Returns the time to the next token; called before each one, as the speed may change. */
  readonly tokenMs: () => number;
  /** Generation is suspended while this returns true. */
  readonly isSuspended: () => boolean;
}

/** Interval at which a suspended completion checks whether to continue. */
const SUSPENDED_CHECK_MS = 20;

/** Generates the response to one completion request, token by token. */
export class Completion {
  private timer?: NodeJS.Timeout;
  private index: number;
  private text = '';

  constructor(
    private readonly response: ServerResponse,
    private readonly options: CompletionOptions,
    private readonly onDone: () => void,
  ) {
    this.index = options.firstIndex;
  }

  start(): void {
    this.timer = setTimeout(() => this.generateNext(), this.options.prefillMs);
  }

  /** Stops generating tokens; the response is left open. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private generateNext(): void {
    const {options} = this;
    if (options.isSuspended()) {
      this.timer = setTimeout(() => this.generateNext(), SUSPENDED_CHECK_MS);
      return;
    }
    if (this.index >= options.endIndex) {
      this.finish();
      return;
    }
    const token = createCompletionToken(options.prompt, this.index);
    this.index += 1;
    this.text += token;
    if (options.stream) this.sendToken(token);
    this.timer = setTimeout(() => this.generateNext(), options.tokenMs());
  }

  private sendToken(token: string): void {
    if (!this.response.headersSent) this.sendStreamHead();
    const choice = this.options.chat
      ? {index: 0, delta: {content: token}}
      : {index: 0, text: token};
    this.response.write(`data: ${JSON.stringify({choices: [choice]})}\n\n`);
  }

  private sendStreamHead(): void {
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
  }

  private finish(): void {
    const {options, response} = this;
    if (options.stream) {
      if (!response.headersSent) this.sendStreamHead();
      response.end('data: [DONE]\n\n');
    } else {
      this.sendComplete();
    }
    this.onDone();
  }

  private sendComplete(): void {
    const {options, text} = this;
    const choice = options.chat
      ? {index: 0, message: {role: 'assistant', content: text}}
      : {index: 0, text};
    const completionTokens = options.endIndex - options.firstIndex;
    sendJson(this.response, 200, {
      choices: [{...choice, finish_reason: 'stop'}],
      usage: {completion_tokens: completionTokens},
    });
  }
}
