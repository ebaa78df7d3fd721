/** Writes structured log lines. */
export interface Logger {
  /** `area` names the part of the node that writes the line. `fields` must not contain secrets. */
  write(
    level: 'debug' | 'info' | 'warn' | 'error',
    area: string,
    message: string,
    fields?: Readonly<Record<string, unknown>>,
  ): void;
}
