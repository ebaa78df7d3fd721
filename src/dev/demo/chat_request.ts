import type {DemoEnd} from './demo_end.js';
import type {Exchange} from './exchange.js';
import {DemoRequest} from './demo_request.js';
import {createCompletionToken} from '../../standins/create_completion_token.js';
import {resolvePrompt} from '../../targets/resolve_prompt.js';

interface ChatOptions {
  readonly kind: 'short' | 'long';
  readonly prompt: string;
  readonly outputTokens: number;
}

/** A streamed chat. It is repeatable, so it is retried whatever the verdict. */
export class ChatRequest extends DemoRequest {
  readonly kind;
  protected readonly path = '/v1/chat/completions';
  protected readonly headers = {};
  protected readonly body;
  private readonly expected: string;

  constructor(
    options: ConstructorParameters<typeof DemoRequest>[0],
    chat: ChatOptions,
  ) {
    super(options);
    this.kind = chat.kind;
    const request = {
      model: 'chat',
      stream: true,
      temperature: 0,
      max_tokens: chat.outputTokens,
      messages: [{role: 'user', content: chat.prompt}],
    };
    this.body = JSON.stringify(request);
    const prompt = resolvePrompt(request);
    const indexes = Array.from(
      {length: chat.outputTokens},
      (_, index) => index,
    );
    this.expected = indexes
      .map(index => createCompletionToken(prompt, index))
      .join('');
  }

  protected read(exchange: Exchange): DemoEnd | undefined {
    if (exchange.status !== 200) return undefined;
    const {text, done} = readStream(exchange.body);
    if (text !== '') this.noteFirstToken(exchange.firstByteAtMs);
    if (!done) return undefined;
    if (text === this.expected) return {end: 'whole'};
    return {end: 'wrong', reason: 'the text is not the whole one'};
  }

  protected async afterRun(): Promise<DemoEnd | undefined> {
    return undefined;
  }
}

function readStream(body: string): {text: string; done: boolean} {
  let text = '';
  let done = false;
  for (const event of body.split('\n\n')) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === '[DONE]') done = true;
    else if (data) text += JSON.parse(data).choices?.[0]?.delta?.content ?? '';
  }
  return {text, done};
}
