import {createInterface} from 'node:readline';
import type {LogLine} from './types.js';
import type {Readable} from 'node:stream';
import {parseLogLine} from './parse_log_line.js';

/** Reads the log lines of nodes from a stream; other lines are skipped. */
export async function readLog(input: Readable): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({input})) {
    const line = parseLogLine(text);
    if (line) lines.push(line);
  }
  return lines;
}
