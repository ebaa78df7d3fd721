import type {z} from 'zod';
import {textField} from './text_field.js';

const NUMBER = /^\d{1,12}(\.\d{1,6})?$/;

/** A number that may have a fraction, within bounds, both included. */
export function numberField(least: number, most: number): z.ZodType<number> {
  const expected = `a number from ${least} to ${most}`;
  return textField(expected, text => {
    if (!NUMBER.test(text)) return undefined;
    const value = Number(text);
    return value >= least && value <= most ? value : undefined;
  });
}
