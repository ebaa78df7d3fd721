import type {PlatformStore, StoreEntry} from '../core/store/types.js';

interface EntryList {
  readonly entries: readonly StoreEntry[];
  /** Revision of the store when the first page was read. */
  readonly revision: number;
}

/** Reads all entries under a prefix, page by page. Resolves to undefined when a page can't be read within the time-out. */
export async function listEntries(
  store: PlatformStore,
  prefix: string,
  timeoutMs: number,
): Promise<EntryList | undefined> {
  const entries: StoreEntry[] = [];
  let revision: number | undefined;
  let afterKey: string | undefined;
  for (;;) {
    const outcome = await store.call(
      {kind: 'list', prefix, afterKey},
      timeoutMs,
    );
    if (outcome.kind !== 'ok') return undefined;
    const page = outcome.entries ?? [];
    entries.push(...page);
    // The pages are not one snapshot, so changes must be watched from the first page's revision on.
    revision ??= outcome.version ?? 0;
    afterKey = page.at(-1)?.key;
    if (!outcome.hasMore || afterKey === undefined) break;
  }
  return {entries, revision};
}
