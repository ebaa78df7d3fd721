import type {z} from 'zod';
import {textField} from './text_field.js';

interface ListOptions {
  /** What one item is, for the message. */
  readonly items: string;
  readonly least: number;
}

/** Values parted by commas, each only once. */
export function listField<T extends string>(
  item: z.ZodType<T>,
  options: ListOptions,
): z.ZodType<T[]> {
  const {items, least} = options;
  const expected = `${least > 0 ? `at least ${least}` : 'any number of'} ${items}, parted by commas, each once`;
  return textField(expected, text => {
    const parts = text === '' ? [] : text.split(',');
    const parsed = parts.map(part => item.safeParse(part.trim()));
    const values = parsed.flatMap(one => (one.success ? [one.data] : []));
    const isWhole =
      values.length === parts.length && new Set(values).size === parts.length;
    return isWhole && values.length >= least ? values : undefined;
  });
}
