import type {LogLine} from './types.js';

/** Formats a log line as text: time, node, area, message and fields. */
export function formatLogLine(line: LogLine): string {
  const time = new Date(line.timeMs).toISOString().slice(11, 23);
  const fields = Object.entries(line.fields)
    .filter(([, value]) => value !== undefined && value !== null)
    .map(([name, value]) => `${name}=${format(value)}`)
    .join(' ');
  return `${time} ${line.node} ${line.area}: ${line.message} ${fields}`;
}

function format(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
