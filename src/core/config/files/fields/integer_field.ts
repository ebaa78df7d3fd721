import type {z} from 'zod';
import {textField} from './text_field.js';

const INTEGER = /^-?\d{1,15}$/;

/** A whole number within bounds, both included. */
export function integerField(least: number, most: number): z.ZodType<number> {
  const expected = `a whole number from ${least} to ${most}`;
  return textField(expected, text => {
    if (!INTEGER.test(text)) return undefined;
    const value = Number(text);
    return value >= least && value <= most ? value : undefined;
  });
}
