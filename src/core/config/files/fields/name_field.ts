import type {z} from 'zod';
import {textField} from './text_field.js';

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** A name that is safe in paths, store keys and metric labels. */
export function nameField<T extends string>(): z.ZodType<T> {
  const expected =
    'a name of lower-case letters, digits and "-", at most 63 characters';
  return textField(expected, text =>
    NAME.test(text) ? (text as T) : undefined,
  );
}
