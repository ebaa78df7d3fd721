/** One entry of the error catalogue. `{name}` in the texts is replaced by a parameter. */
export interface ErrorEntry {
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  /** HTTP status sent to a caller. */
  readonly status: number;
}
