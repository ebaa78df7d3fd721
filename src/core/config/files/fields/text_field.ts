import {z} from 'zod';

/**
 * A value converted by `parse`, which returns undefined for an invalid text;
 * `expected` describes valid texts.
 */
export function textField<T>(
  expected: string,
  parse: (text: string) => T | undefined,
): z.ZodType<T> {
  return z.string({error: expected}).transform((text, context) => {
    const value = parse(text);
    if (value !== undefined) return value;
    context.issues.push({code: 'custom', message: expected, input: text});
    return z.NEVER;
  });
}
