import {readIni} from './read_ini.js';

/** Tells by its sections what a file is; `unknown` has none that is known. */
export function fileKind(
  text: string,
): 'service' | 'organisations' | 'settings' | 'unknown' {
  const names = [...readIni('', text).document.sections.keys()];
  if (names.includes('service')) return 'service';
  if (names.some(name => name.startsWith('organisation.'))) {
    return 'organisations';
  }
  if (names.includes('node')) return 'settings';
  return 'unknown';
}
