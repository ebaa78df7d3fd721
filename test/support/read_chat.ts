interface ChatText {
  readonly text: string;
  readonly tokens: number;
  /** Whether the end marker was received. */
  readonly done: boolean;
  /** Body of an error event, if one was received. */
  readonly error?: {readonly name: string; readonly verdict: string};
}

/** Parses a streamed chat response; each event with content counts as one token. */
export function readChat(body: string): ChatText {
  let text = '';
  let tokens = 0;
  let done = false;
  let error: ChatText['error'];
  for (const event of body.split('\n\n')) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === undefined) continue;
    if (data === '[DONE]') {
      done = true;
    } else {
      const parsed = JSON.parse(data);
      if (parsed.error) error = parsed.error;
      const content = parsed.choices?.[0]?.delta?.content;
      if (typeof content !== 'string') continue;
      text += content;
      tokens += 1;
    }
  }
  return {text, tokens, done, ...(error && {error})};
}
