/** Answer to an accepted `publish`. */
export interface PublishAnswer {
  readonly revision: number;
  /** Keys of the parts that changed, see `configKey`; empty: the files were in force already. */
  readonly changed: readonly string[];
}
