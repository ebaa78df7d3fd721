import {digestText} from './digest_text.js';

/** Reads and writes texts in the store, which holds JSON. */
export const textRecord = {
  write: (text: string): string => JSON.stringify({text}),

  /** Returns undefined for an invalid value or a text with another digest. */
  read(value: string, digest: string): string | undefined {
    try {
      const {text} = JSON.parse(value) as {text?: unknown};
      if (typeof text !== 'string') return undefined;
      return digestText(text) === digest ? text : undefined;
    } catch {
      return undefined;
    }
  },
};
