import type {z} from 'zod';
import {textField} from './text_field.js';

const SIZE = /^(\d{1,9})(B|KB|MB)$/;
const UNIT_BYTES: Readonly<Record<string, number>> = {
  B: 1,
  KB: 1024,
  MB: 1024 * 1024,
};

/** A size with its unit, in bytes; the bounds are included and given as written. */
export function sizeField(least: string, most: string): z.ZodType<number> {
  const leastBytes = parseSize(least)!;
  const mostBytes = parseSize(most)!;
  const expected = `a size with its unit (B, KB, MB) from ${least} to ${most}`;
  return textField(expected, text => {
    const valueBytes = parseSize(text);
    if (valueBytes === undefined) return undefined;
    return valueBytes >= leastBytes && valueBytes <= mostBytes
      ? valueBytes
      : undefined;
  });
}

function parseSize(text: string): number | undefined {
  const match = SIZE.exec(text);
  return match ? Number(match[1]) * UNIT_BYTES[match[2]!]! : undefined;
}
