/** One fault in an operator's file, with what is needed to correct it. */
export interface FileFault {
  readonly path: string;
  /** Line number from 1; 0 when the fault concerns the whole file. */
  readonly line: number;
  /** `section.key`, or the section alone. */
  readonly name: string;
  readonly expected: string;
  readonly got: string;
}
