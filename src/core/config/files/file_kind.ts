import {readIni} from './read_ini.js';

/** Detects the kind of a file from its sections; `unknown` when no known section is present. */
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
