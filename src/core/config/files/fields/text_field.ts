import {z} from 'zod';

/** A value that `parse` understands; `expected` says what is understood. */
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
