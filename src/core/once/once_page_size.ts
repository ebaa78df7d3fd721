/** Entries that one store call of the sweep lists. */
export const ONCE_PAGE_SIZE = 50;
