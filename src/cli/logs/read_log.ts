import {createInterface} from 'node:readline';
import type {LogLine} from './types.js';
import type {Readable} from 'node:stream';
import {parseLogLine} from './parse_log_line.js';

/** Reads the lines of nodes' logs from a stream; lines of others are passed over. */
export async function readLog(input: Readable): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({input})) {
    const line = parseLogLine(text);
    if (line) lines.push(line);
  }
  return lines;
}
