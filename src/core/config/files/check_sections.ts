import type {FileFault} from './file_fault.js';
import type {IniDocument} from './ini_document.js';

/** Reports the sections that are not allowed in this kind of file; `known` lists those that are. */
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
