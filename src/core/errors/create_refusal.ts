import {ERROR_CATALOGUE} from './error_catalogue.js';
import type {ErrorName} from './error_name.js';
import type {Refusal} from './refusal.js';
import type {Verdict} from '../verdict/index.js';

interface RefusalOptions {
  readonly params?: Readonly<Record<string, string | number>>;
  readonly retryAfterMs?: number;
}

/** Builds a refusal from the catalogue; `verdict` is stated by every call site. */
export function createRefusal(
  name: ErrorName,
  verdict: Verdict,
  options: RefusalOptions = {},
): Refusal {
  const entry = ERROR_CATALOGUE[name];
  const params = options.params ?? {};
  const fill = (text: string) =>
    text.replace(/\{(\w+)\}/g, (whole, key: string) =>
      String(params[key] ?? whole),
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
