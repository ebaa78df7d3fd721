import type {LoadLine} from './load_line.js';
import type {LoadRequest} from './load_request.js';

const USUAL_SERVICE = 'chat';
const USUAL_DEADLINE_MS = 10_000;

/** Fills in what a line of a load trace leaves out. */
export function parseLoadLine(line: LoadLine): LoadRequest {
  const {prefix, ...rest} = line;
  const organisation = line.client.split('/')[0]!;
  return {
    service: USUAL_SERVICE,
    deadlineMs: USUAL_DEADLINE_MS,
    ...rest,
    ...(prefix === undefined ? {} : {prefix: `${organisation}:${prefix}`}),
  };
}
