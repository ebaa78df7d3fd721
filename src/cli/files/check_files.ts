import type {ConfigFile, FileFault} from '../../core/config/files/index.js';
import {checkAddresses, loadSettings} from '../../settings/index.js';
import {
  fileKind,
  parseConfigFiles,
  readIni,
  sortFaults,
} from '../../core/config/files/index.js';

/** Checks service, organisation and settings files, separately and against each other. */
export function checkFiles(files: readonly ConfigFile[]): FileFault[] {
  const isSettings = (file: ConfigFile) => fileKind(file.text) === 'settings';
  const settings = files.filter(isSettings);
  const config = files.filter(file => !isSettings(file));
  const faults = settings.flatMap(({path}) => {
    const loaded = loadSettings(path);
    return loaded.isErr() ? loaded.error : [];
  });
  const documents = settings.map(
    ({path, text}) => readIni(path, text).document,
  );
  faults.push(...checkAddresses(documents));
  const parsed = parseConfigFiles(config);
  if (parsed.isErr()) faults.push(...parsed.error);
  return sortFaults(faults);
}
