/** A change to one part of the configuration; a null text removes the part. */
export interface ConfigChange {
  readonly key: string;
  readonly text: string | null;
  readonly revision: number;
}
