import type {Trace} from './trace.js';

/** Parses the text of a trace; returns undefined when its first line is not a trace head. */
export function parseTrace(text: string): Trace | undefined {
  const [first, ...rest] = text.split('\n').filter(line => line !== '');
  if (first === undefined) return undefined;
  const head = JSON.parse(first);
  if (head.kind !== 'trace') return undefined;
  return {head, lines: rest.map(line => JSON.parse(line))};
}
