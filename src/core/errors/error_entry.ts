/**
 * One entry of the error catalogue. Placeholders such as `{name}` in the texts
 * are replaced by parameters.
 */
export interface ErrorEntry {
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  /** HTTP status sent to a caller. */
  readonly status: number;
}
