import type {LogLine} from './types.js';

interface RawLine {
  readonly time?: unknown;
  readonly message?: unknown;
  readonly context?: Readonly<Record<string, unknown>>;
}

/**
 * Parses a line of a node's log; a prefix before the JSON, as log collectors
 * add it, is skipped. Returns undefined for other lines.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let raw: RawLine;
  try {
    raw = JSON.parse(text.slice(start)) as RawLine;
  } catch {
    return undefined; // not a log line of a node
  }
  const {context, message, time} = raw;
  if (typeof message !== 'string' || typeof time !== 'number' || !context) {
    return undefined;
  }
  const {node, area, level: _level, logLevel: _number, ...fields} = context;
  return {
    timeMs: time,
    node: String(node),
    area: String(area),
    message,
    fields,
  };
}
