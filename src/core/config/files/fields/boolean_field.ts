import type {z} from 'zod';
import {textField} from './text_field.js';

/** `true` or `false`. */
export function booleanField(): z.ZodType<boolean> {
  return textField('true or false', text => {
    if (text === 'true') return true;
    return text === 'false' ? false : undefined;
  });
}
