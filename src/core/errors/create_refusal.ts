import {ERROR_CATALOGUE} from './error_catalogue.js';
import type {ErrorName} from './error_name.js';
import type {Refusal} from './refusal.js';
import type {Verdict} from '../verdict/index.js';

interface RefusalOptions {
  /** Values for the `{name}` placeholders of the texts. */
  readonly params?: Readonly<Record<string, string | number>>;
  readonly retryAfterMs?: number;
}

/** Creates a refusal from its catalogue entry; a placeholder without a parameter stays as it is. */
export function createRefusal(
  name: ErrorName,
  verdict: Verdict,
  options: RefusalOptions = {},
): Refusal {
  const entry = ERROR_CATALOGUE[name];
  const params = options.params ?? {};
  const fill = (text: string) =>
    text.replace(/\{(\w+)\}/g, (placeholder, key: string) =>
      String(params[key] ?? placeholder),
    );
  return {
    status: entry.status,
    body: {
      name,
      title: entry.title,
      message: fill(entry.message),
      hint: fill(entry.hint),
      verdict,
      ...(options.retryAfterMs === undefined
        ? {}
        : {retryAfterMs: Math.ceil(options.retryAfterMs)}),
    },
  };
}
