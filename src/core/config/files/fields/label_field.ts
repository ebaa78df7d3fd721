import type {z} from 'zod';
import {textField} from './text_field.js';

const LABEL = /^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$/;

/** A label assigned by another system, such as a model or a version. */
export function labelField(): z.ZodType<string> {
  const expected =
    'a label of letters, digits and "._/:-", at most 128 characters';
  return textField(expected, text => (LABEL.test(text) ? text : undefined));
}
