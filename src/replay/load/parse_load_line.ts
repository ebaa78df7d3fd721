import type {LoadLine} from './load_line.js';
import type {LoadRequest} from './load_request.js';

const DEFAULT_SERVICE = 'chat';
const DEFAULT_DEADLINE_MS = 10_000;

/** Creates a request from a line of a load trace, with defaults for absent fields. */
export function parseLoadLine(line: LoadLine): LoadRequest {
  const {prefix, ...rest} = line;
  const organisation = line.client.split('/')[0]!;
  return {
    service: DEFAULT_SERVICE,
    deadlineMs: DEFAULT_DEADLINE_MS,
    ...rest,
    ...(prefix === undefined ? {} : {prefix: `${organisation}:${prefix}`}),
  };
}
