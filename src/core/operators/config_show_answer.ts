interface ShownFile {
  /** Name of a service, or `organisations`. */
  readonly name: string;
  /** Revision that last changed it. */
  readonly revision: number;
  /** As last published. */
  readonly text: string;
}

/** Answer to `configShow`: the files in force. */
export interface ConfigShowAnswer {
  readonly revision: number;
  readonly files: readonly ShownFile[];
}
