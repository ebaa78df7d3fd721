import type {z} from 'zod';
import {textField} from './text_field.js';

/** One of a fixed set of values. */
export function choiceField<T extends string>(
  choices: readonly T[],
): z.ZodType<T> {
  const expected = `one of ${choices.join(', ')}`;
  return textField(expected, text => choices.find(choice => choice === text));
}
