import {unsafe} from 'ini';
import type {FileFault} from './file_fault.js';
import type {IniDocument} from './ini_document.js';

interface MutableSection {
  readonly name: string;
  readonly line: number;
  readonly entries: Map<string, {value: string; line: number}>;
}

interface IniResult {
  readonly document: IniDocument;
  readonly faults: readonly FileFault[];
}

const SECTION = /^\[([^\]]*)\]\s*([;#].*)?$/;
const COMMENT = /^[;#]/;

/**
 * Reads an INI file and keeps the line of each value, which the `ini` library
 * drops; quoting, escapes and trailing comments are decoded by the library.
 */
export function readIni(path: string, text: string): IniResult {
  const reader = new IniReader(path);
  const lines = text.replace(/^\uFEFF/, '').split(/\r?\n/);
  lines.forEach((line, at) => reader.add(line.trim(), at + 1));
  return reader.finish();
}

class IniReader {
  private readonly sections = new Map<string, MutableSection>();
  private readonly faults: FileFault[] = [];
  private current?: MutableSection;

  constructor(private readonly path: string) {}

  add(text: string, line: number): void {
    if (text === '' || COMMENT.test(text)) return;
    const section = SECTION.exec(text);
    if (section) this.openSection(decode(section[1]!), line);
    else this.addEntry(text, line);
  }

  finish(): IniResult {
    const {path, sections, faults} = this;
    return {document: {path, sections}, faults};
  }

  private openSection(name: string, line: number): void {
    const existing = this.sections.get(name);
    if (existing) {
      const expected = `one section of this name (the first is on line ${existing.line})`;
      this.addFault(line, name, expected, 'a second one');
    }
    this.current = existing ?? {name, line, entries: new Map()};
    this.sections.set(name, this.current);
  }

  private addEntry(text: string, line: number): void {
    const at = text.indexOf('=');
    if (at <= 0) {
      const name = this.current?.name ?? 'file';
      this.addFault(line, name, '"key = value" or "[section]"', text);
      return;
    }
    const key = decode(text.slice(0, at));
    if (!this.current) {
      this.addFault(line, key, 'a [section] before the first key', 'none');
      return;
    }
    this.setValue(this.current, key, decode(text.slice(at + 1)), line);
  }

  private setValue(
    section: MutableSection,
    key: string,
    value: string,
    line: number,
  ): void {
    const existing = section.entries.get(key);
    if (!existing) {
      section.entries.set(key, {value, line});
      return;
    }
    const expected = `one value (the first is on line ${existing.line})`;
    this.addFault(line, `${section.name}.${key}`, expected, 'a second one');
  }

  private addFault(
    line: number,
    name: string,
    expected: string,
    got: string,
  ): void {
    this.faults.push({path: this.path, line, name, expected, got});
  }
}

function decode(text: string): string {
  return String(unsafe(text));
}
