import type {PlatformStore, StoreEntry} from '../core/store/types.js';

interface EntryList {
  readonly entries: readonly StoreEntry[];
  /** Of the store, when the first page was read. */
  readonly revision: number;
}

/** Reads all entries under a prefix, page by page; undefined when a page can't be had. */
export async function listEntries(
  store: PlatformStore,
  prefix: string,
  answerMs: number,
): Promise<EntryList | undefined> {
  const entries: StoreEntry[] = [];
  let revision: number | undefined;
  let afterKey: string | undefined;
  for (;;) {
    const outcome = await store.call(
      {kind: 'list', prefix, afterKey},
      answerMs,
    );
    if (outcome.kind !== 'ok') return undefined;
    const page = outcome.entries ?? [];
    entries.push(...page);
    // Pages are no snapshot: changes are followed from the first one on.
    revision ??= outcome.version ?? 0;
    afterKey = page.at(-1)?.key;
    if (!outcome.hasMore || afterKey === undefined) break;
  }
  return {entries, revision};
}
