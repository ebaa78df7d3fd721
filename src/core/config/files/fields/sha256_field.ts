import type {z} from 'zod';
import {textField} from './text_field.js';

const SHA256 = /^[0-9a-f]{64}$/;

/** A SHA-256 in lower-case hexadecimal. */
export function sha256Field(): z.ZodType<string> {
  const expected = 'a SHA-256 in 64 lower-case hexadecimal digits';
  return textField(expected, text => (SHA256.test(text) ? text : undefined));
}
