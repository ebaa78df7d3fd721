interface ShownFile {
  /** Name of a service, or `organisations`. */
  readonly key: string;
  /** As last published. */
  readonly text: string;
}

/** Answer to `configShow`: the files in force at a revision. */
export interface ConfigShowAnswer {
  readonly revision: number;
  readonly files: readonly ShownFile[];
}
