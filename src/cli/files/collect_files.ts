import {readFileSync, readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';
import type {ConfigFile} from '../../core/config/files/index.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';

const SKIPPED_NAMES = /^(\.|node_modules$)/;

/**
 * Reads every `*.ini` under the paths, ordered by path; hidden files, hidden
 * directories and node_modules are skipped. Throws a `CliError` for a missing
 * path.
 */
export function collectFiles(paths: readonly string[]): ConfigFile[] {
  const iniPaths = paths.flatMap(path => listIni(path));
  return iniPaths
    .sort()
    .map(path => ({path, text: readFileSync(path, 'utf8')}));
}

function listIni(path: string): string[] {
  const stat = statSync(path, {throwIfNoEntry: false});
  if (!stat) {
    throw new CliError(`There is no file or directory "${path}".`, {
      exitCode: EXIT_CODE.filesNotValid,
      data: {path},
    });
  }
  if (stat.isFile()) return [path];
  return readdirSync(path, {withFileTypes: true})
    .filter(entry => !SKIPPED_NAMES.test(entry.name))
    .filter(entry => entry.isDirectory() || entry.name.endsWith('.ini'))
    .flatMap(entry => listIni(join(path, entry.name)));
}
