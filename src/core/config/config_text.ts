/** The text of one part, as published. */
export interface ConfigText {
  readonly text: string;
  readonly digest: string;
  /** Revision that last changed the text. */
  readonly revision: number;
}
