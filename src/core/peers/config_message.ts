/** Asks for the changes since a revision. */
interface Pull {
  readonly type: 'config.pull';
  readonly sinceRevision: number;
}

/** Changes from one revision to another; a null text removes the service. */
interface Delta {
  readonly type: 'config.delta';
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly changes: readonly {
    readonly key: string;
    readonly text: string | null;
  }[];
}

/** The peer no longer holds the changes asked for. */
interface NoHistory {
  readonly type: 'config.noHistory';
  readonly revision: number;
}

/** Messages of the config area. */
export type ConfigMessage = Pull | Delta | NoHistory;
