import type {FileFault} from './file_fault.js';
import type {IniDocument} from './ini_document.js';

/** Reports the sections that a kind of file does not have. */
export function checkSections(
  document: IniDocument,
  isKnown: (name: string) => boolean,
  known: string,
): FileFault[] {
  return [...document.sections.values()]
    .filter(section => !isKnown(section.name))
    .map(section => ({
      path: document.path,
      line: section.line,
      name: section.name,
      expected: known,
      got: `[${section.name}]`,
    }));
}
