/** Answer to an accepted `publish`. */
export interface PublishAnswer {
  readonly revision: number;
  /** Keys of the changed parts, see `configKey`; empty when the files equal the current ones. */
  readonly changed: readonly string[];
}
