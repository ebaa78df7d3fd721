/** A parsed line of a node's log. */
export interface LogLine {
  readonly timeMs: number;
  readonly node: string;
  readonly area: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
