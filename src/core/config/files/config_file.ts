/** A file as an operator sends it. */
export interface ConfigFile {
  readonly path: string;
  readonly text: string;
}
