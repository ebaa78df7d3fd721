/** A configuration file as an operator submits it. */
export interface ConfigFile {
  readonly path: string;
  readonly text: string;
}
