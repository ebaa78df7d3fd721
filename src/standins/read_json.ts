import type {IncomingMessage} from 'node:http';

/** Reads a JSON body; an empty body gives an empty object. Rejects on malformed JSON. */
export async function readJson<T>(request: IncomingMessage): Promise<T> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return JSON.parse(text || '{}') as T;
}
