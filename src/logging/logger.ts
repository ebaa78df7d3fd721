/** Writes structured log lines. */
export interface Logger {
  /** `area` is the label of the part that writes. Secrets must not be in `fields`. */
  write(
    level: 'debug' | 'info' | 'warn' | 'error',
    area: string,
    message: string,
    fields?: Readonly<Record<string, unknown>>,
  ): void;
}
