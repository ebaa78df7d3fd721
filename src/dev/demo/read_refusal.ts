import type {Entry} from '../../core/entries/types.js';
import type {ErrorBody} from '../../core/errors/types.js';

interface ReadRefusal {
  readonly error: ErrorBody;
  readonly entries?: readonly Entry[];
}

/**
 * Parses a refusal from a response body, or from the error event of a stream;
 * undefined when there is none.
 */
export function readRefusal(body: string): ReadRefusal | undefined {
  const event = /^event: error\ndata: (.*)$/m.exec(body)?.[1];
  try {
    const parsed = JSON.parse(event ?? body) as Partial<ReadRefusal>;
    return parsed.error ? (parsed as ReadRefusal) : undefined;
  } catch {
    return undefined;
  }
}
