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

/** The token at an index of the answer to a prompt; the same on every engine. */
export function completionToken(prompt: string, index: number): string {
  const hash = createHash('sha256').update(`${index}\n${prompt}`).digest();
  return `${WORDS[hash[0]! % WORDS.length]}-${index} `;
}
