interface PromptJson {
  readonly messages?: unknown;
  readonly prompt?: unknown;
}

interface MessageJson {
  readonly role?: unknown;
  readonly content?: unknown;
}

/** The prompt of a chat or text completion as one text, the same for callers and engines. */
export function promptText({messages, prompt}: PromptJson): string {
  if (!Array.isArray(messages)) return asText(prompt);
  let text = '';
  for (const message of messages as readonly (MessageJson | null)[]) {
    text += `${asText(message?.role)}\0${asText(message?.content)}\0`;
  }
  return text;
}

function asText(value: unknown): string {
  if (typeof value === 'string') return value;
  return value === undefined ? '' : JSON.stringify(value);
}
