import {readFileSync} from 'node:fs';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';

/**
 * Reads a trace or recording. Throws a `CliError` for an unreadable file or a
 * line that is not JSON.
 */
export function loadText(path: string): string {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch {
    throw usageError(`Cannot read "${path}"; name a trace or a recording.`);
  }
  for (const [index, line] of text.split('\n').entries()) {
    if (line !== '') checkLine(path, index + 1, line);
  }
  return text;
}

function checkLine(path: string, number: number, line: string): void {
  try {
    JSON.parse(line);
  } catch {
    throw usageError(`${path}:${number}: expected a JSON value.`);
  }
}

function usageError(message: string): CliError {
  return new CliError(message, {exitCode: EXIT_CODE.usage});
}
