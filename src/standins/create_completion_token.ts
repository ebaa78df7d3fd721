import {createHash} from 'node:crypto';

const WORDS = [
  'hay',
  'oats',
  'rein',
  'hoof',
  'tow',
  'lock',
  'mule',
  'bran',
  'crepe',
  'paste',
  'star',
  'string',
  'fringe',
  'glue',
  'clay',
  'drum',
] as const;

/** Returns the token at an index of the response to a prompt; identical on every engine, so that resumed streams can be verified. */
export function createCompletionToken(prompt: string, index: number): string {
  const hash = createHash('sha256').update(`${index}\n${prompt}`).digest();
  return `${WORDS[hash[0]! % WORDS.length]}-${index} `;
}
