/** Purpose of a pending store call or peer request of the configuration. */
export type ConfigCall =
  | {readonly purpose: 'head' | 'watch'}
  | {readonly purpose: 'text'; readonly key: string; readonly digest: string}
  | {readonly purpose: 'pull'; readonly sinceRevision: number}
  | {
      readonly purpose: 'job';
      readonly jobId: string;
      readonly step: 'head' | 'text' | 'swap' | 'theirs';
      readonly key?: string;
    };
