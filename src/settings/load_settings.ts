import {err, type Result} from 'neverthrow';
import {dirname, resolve} from 'node:path';
import {readFileSync} from 'node:fs';
import type {FileFault} from '../core/config/files/index.js';
import type {Settings} from './settings.js';
import {parseSettings} from './parse_settings.js';

/** Loads and checks a node's settings file; paths of secret files are relative to its directory. */
export function loadSettings(path: string): Result<Settings, FileFault[]> {
  const text = readText(path);
  if (text === undefined) {
    return err([
      {path, line: 0, name: 'file', expected: 'a readable file', got: 'none'},
    ]);
  }
  return parseSettings(path, text, named =>
    readText(resolve(dirname(path), named)),
  );
}

function readText(path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
}
