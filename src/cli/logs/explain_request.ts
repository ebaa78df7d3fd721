import type {LogLine} from './types.js';

/** Messages that end a request, or decide its end. */
const DECIDING = new Set([
  'request turned away',
  'request given up',
  'request answered',
  'caller gone',
]);
/** What the nodes believed of a target is told from this long before the request. */
const CONTEXT_MS = 3000;

interface Explanation {
  /** All lines that touch the request, in order of time. */
  readonly lines: readonly LogLine[];
  /** The line that decided its end; the last one of these. */
  readonly deciding?: LogLine;
  /** What nodes found out about its targets around that time. */
  readonly context: readonly LogLine[];
}

/** Gathers what several nodes logged of a request, by the node's id of it or the caller's. */
export function explainRequest(
  log: readonly LogLine[],
  id: string,
): Explanation {
  const lines = log
    .filter(
      ({fields}) => fields['requestId'] === id || fields['callerId'] === id,
    )
    .sort((a, b) => a.timeMs - b.timeMs);
  const deciding = lines.findLast(({message}) => DECIDING.has(message));
  const targets = new Set(
    lines.map(({fields}) => fields['target']).filter(Boolean),
  );
  const first = lines[0]?.timeMs ?? Infinity;
  const last = lines.at(-1)?.timeMs ?? -Infinity;
  const context = log
    .filter(({timeMs}) => timeMs >= first - CONTEXT_MS && timeMs <= last)
    .filter(line => !lines.includes(line) && names(line, targets))
    .filter(({area}) => area !== 'requests')
    .sort((a, b) => a.timeMs - b.timeMs);
  return {lines, deciding, context};
}

function names({fields}: LogLine, targets: ReadonlySet<unknown>): boolean {
  const {target, vmId, replica} = fields;
  if (targets.has(target) || targets.has(vmId)) return true;
  return (
    typeof replica === 'string' &&
    [...targets].some(one => replica.startsWith(String(one)))
  );
}
