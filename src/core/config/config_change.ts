/** A part that a later revision changed; a null text removes it. */
export interface ConfigChange {
  readonly key: string;
  readonly text: string | null;
  readonly revision: number;
}
