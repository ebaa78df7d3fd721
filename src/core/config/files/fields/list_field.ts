import type {z} from 'zod';
import {textField} from './text_field.js';

interface ListOptions {
  /** Plural name of the items, for the message. */
  readonly items: string;
  /** Minimum number of items. */
  readonly least: number;
}

/** Values separated by commas; duplicates are faults. */
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
    const isValid =
      values.length === parts.length && new Set(values).size === parts.length;
    return isValid && values.length >= least ? values : undefined;
  });
}
