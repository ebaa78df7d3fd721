import type {ConfigHead} from './config_head.js';
import {z} from 'zod';

const PUBLICATION = z.looseObject({
  revision: z.number(),
  publicationId: z.string(),
  operator: z.string(),
  atMs: z.number(),
  changed: z.array(z.string()),
});
const HEAD = z.looseObject({
  revision: z.number(),
  parts: z.record(
    z.string(),
    z.looseObject({digest: z.string(), revision: z.number()}),
  ),
  removed: z.record(z.string(), z.number()),
  floorRevision: z.number(),
  publications: z.array(PUBLICATION),
});

/** Reads and writes the head of the configuration in the store. */
export const headRecord = {
  key: 'config/head',

  write: (head: ConfigHead): string => JSON.stringify(head),

  /** Returns undefined for an empty or invalid value. */
  read(value: string): ConfigHead | undefined {
    try {
      const parsed = HEAD.safeParse(JSON.parse(value));
      return parsed.success ? parsed.data : undefined;
    } catch {
      return undefined;
    }
  },
};
