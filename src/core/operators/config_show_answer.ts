interface ShownFile {
  /** Name of a service, or `organisations`. */
  readonly name: string;
  /** Revision that last changed it. */
  readonly revision: number;
  /** Text of the file as last published. */
  readonly text: string;
}

/** Answer to `configShow`: the files of the current configuration. */
export interface ConfigShowAnswer {
  readonly revision: number;
  readonly files: readonly ShownFile[];
}
