interface Change {
  /** Name of a service, or `organisations`. */
  readonly key: string;
  readonly change: 'added' | 'changed' | 'removed' | 'unchanged';
}

/** Answer to an accepted `publish`. */
export interface PublishAnswer {
  readonly revision: number;
  readonly changes: readonly Change[];
}
