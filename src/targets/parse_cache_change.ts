import {z} from 'zod';

const CACHE_CHANGE = z.object({
  bootId: z.string(),
  fromSequence: z.number(),
  toSequence: z.number(),
  whole: z.boolean(),
  stored: z.array(z.string()),
  evicted: z.array(z.string()),
});

/** Parses a batch of prefix-cache changes; undefined when the text is malformed. */
export function parseCacheChange(
  text: string,
): z.infer<typeof CACHE_CHANGE> | undefined {
  try {
    return CACHE_CHANGE.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}
