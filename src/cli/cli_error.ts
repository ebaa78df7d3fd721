interface CliErrorOptions {
  /** A value of `EXIT_CODE`. */
  readonly exitCode: number;
  /** Machine-readable cause for `--json`. */
  readonly data?: unknown;
}

/** A failure told to the operator in one line that says what to do. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly options: CliErrorOptions,
  ) {
    super(message);
  }
}
