import type {ConfigFile} from '../../core/config/files/index.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {checkFiles} from './check_files.js';
import {formatFault} from '../../core/config/files/index.js';

/** Throws a `CliError` that lists all faults if there are any. */
export function requireValid(files: readonly ConfigFile[]): void {
  const faults = checkFiles(files);
  if (faults.length === 0) return;
  const noun = faults.length === 1 ? 'fault' : 'faults';
  const lines = faults.map(formatFault);
  const summary = `${faults.length} ${noun} in ${files.length} files.`;
  throw new CliError([...lines, summary].join('\n'), {
    exitCode: EXIT_CODE.filesNotValid,
    data: {faults},
  });
}
