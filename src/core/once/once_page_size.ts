/** Entries that one call of the sweep lists. */
export const ONCE_PAGE_SIZE = 50;
