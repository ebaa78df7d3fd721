interface CliErrorOptions {
  /** A value of `EXIT_CODE`. */
  readonly exitCode: number;
  /** Machine-readable cause for `--json`. */
  readonly data?: unknown;
}

/** A failure of a command; its message says what the operator can do about it. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly options: CliErrorOptions,
  ) {
    super(message);
  }
}
