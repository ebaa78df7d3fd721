import type {LogLine} from './types.js';

/** Log messages that end a request, or decide how it ends. */
const DECIDING_MESSAGES = new Set([
  'request turned away',
  'request given up',
  'request answered',
  'caller gone',
]);
/** Context lines start this long before the first line of the request. */
const CONTEXT_MS = 3000;

interface Explanation {
  /** All lines of the request, in order of time. */
  readonly lines: readonly LogLine[];
  /** The last line that ends the request or decides how it ends; absent when there is none. */
  readonly deciding?: LogLine;
  /** Other lines about its targets, from shortly before the request until its last line. */
  readonly context: readonly LogLine[];
}

/** Collects the lines that nodes logged for a request, by its request id or the caller's id. */
export function explainRequest(
  log: readonly LogLine[],
  id: string,
): Explanation {
  const lines = log
    .filter(
      ({fields}) => fields['requestId'] === id || fields['callerId'] === id,
    )
    .sort((a, b) => a.timeMs - b.timeMs);
  const deciding = lines.findLast(({message}) =>
    DECIDING_MESSAGES.has(message),
  );
  const targets = new Set(
    lines.map(({fields}) => fields['target']).filter(Boolean),
  );
  const first = lines[0]?.timeMs ?? Infinity;
  const last = lines.at(-1)?.timeMs ?? -Infinity;
  const context = log
    .filter(({timeMs}) => timeMs >= first - CONTEXT_MS && timeMs <= last)
    .filter(line => !lines.includes(line) && concernsTarget(line, targets))
    .filter(({area}) => area !== 'requests')
    .sort((a, b) => a.timeMs - b.timeMs);
  return {lines, deciding, context};
}

function concernsTarget(
  {fields}: LogLine,
  targets: ReadonlySet<unknown>,
): boolean {
  const {target, vmId, replica} = fields;
  if (targets.has(target) || targets.has(vmId)) return true;
  return (
    typeof replica === 'string' &&
    [...targets].some(one => replica.startsWith(String(one)))
  );
}
