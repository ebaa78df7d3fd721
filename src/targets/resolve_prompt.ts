interface PromptBody {
  readonly messages?: readonly {role?: unknown; content?: unknown}[];
  readonly prompt?: unknown;
}

/** Returns the text that an engine processes: the messages of a chat, or the prompt. */
export function resolvePrompt(body: PromptBody): string {
  if (!Array.isArray(body.messages)) return asText(body.prompt);
  const messages = body.messages as readonly {
    role?: unknown;
    content?: unknown;
  }[];
  return messages
    .map(message => `${asText(message.role)}\n${asText(message.content)}\n`)
    .join('');
}

function asText(value: unknown): string {
  return typeof value === 'string' ? value : (JSON.stringify(value) ?? '');
}
