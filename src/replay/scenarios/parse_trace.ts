import type {Trace} from './trace.js';

/** Reads a trace's text; undefined when its first line is no trace head. */
export function parseTrace(text: string): Trace | undefined {
  const [first, ...rest] = text.split('\n').filter(line => line !== '');
  if (first === undefined) return undefined;
  const head = JSON.parse(first);
  if (head.kind !== 'trace') return undefined;
  return {head, lines: rest.map(line => JSON.parse(line))};
}
