interface IniEntry {
  readonly value: string;
  readonly line: number;
}

interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly entries: ReadonlyMap<string, IniEntry>;
}

/** An INI file as written: sections and values with their line numbers. */
export interface IniDocument {
  readonly path: string;
  readonly sections: ReadonlyMap<string, IniSection>;
}
