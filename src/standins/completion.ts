import type {ServerResponse} from 'node:http';
import {completionToken} from './completion_token.js';
import {sendJson} from './send_json.js';

interface CompletionOptions {
  readonly prompt: string;
  /** Index of the first token to make, after those of an earlier attempt. */
  readonly firstIndex: number;
  readonly endIndex: number;
  readonly stream: boolean;
  readonly chat: boolean;
  readonly prefillMs: number;
  /** Time to the next token; read before each. */
  readonly tokenMs: () => number;
  /** While true no token is made. */
  readonly isHeld: () => boolean;
}

const HELD_STEP_MS = 20;

/** One answer in the making. */
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
    this.timer = setTimeout(() => this.step(), this.options.prefillMs);
  }

  /** Stops making tokens; what was sent stays sent. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private step(): void {
    const {options} = this;
    if (options.isHeld()) {
      this.timer = setTimeout(() => this.step(), HELD_STEP_MS);
      return;
    }
    if (this.index >= options.endIndex) {
      this.finish();
      return;
    }
    const token = completionToken(options.prompt, this.index);
    this.index += 1;
    this.text += token;
    if (options.stream) this.sendToken(token);
    this.timer = setTimeout(() => this.step(), options.tokenMs());
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
      this.sendWhole();
    }
    this.onDone();
  }

  private sendWhole(): void {
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
